@jobs
Feature: The adapter rejects malformed input, and the logs record every decision

  Scenario Outline: Malformed <what> raise no unexpected error
    When 300 random variants of <what> are decoded
    Then each was decoded or rejected as malformed

    Examples:
      | what             |
      | jobs             |
      | configurations   |
      | executor entries |
      | waves            |
      | poll responses   |
      | start responses  |
      | pages of records |
      | newest records   |
      | append responses |
      | lists of hosts   |
      | permissions      |

  Scenario Outline: A job that asks for less than nothing is rejected: <name>
    When a job that asks for <name> <value> is decoded
    Then it is rejected as malformed

    Examples:
      | name          | value |
      | cpu           | -500  |
      | mem-mb        | -1    |
      | gpus          | -1    |
      | estimated-ms  | -900  |
      | anti-affinity | -1    |
      | may-miss      | -1    |

  Scenario: Records survive encoding and decoding
    When 200 random records are encoded and decoded
    Then the decoded records equal the encoded ones

  Scenario Outline: An executor's response to a start is interpreted: <status> <reason>
    When an executor responds to a start with <status> and "<reason>"
    Then the start outcome is <outcome>

    Examples:
      | status | reason | outcome    |
      | 200    |        | accepted   |
      | 409    | fence  | fenced     |
      | 409    | old    | old_run    |
      | 409    | late   | too_late   |
      | 409    | room   | no_room    |
      | 409    | ticket | bad_ticket |
      | 409    | other  | unknown    |
      | 400    |        | invalid    |
      | 421    |        | gone       |
      | 429    |        | unhealthy  |
      | 503    |        | unhealthy  |
      | 500    |        | unknown    |

  Scenario Outline: The store's response <status> <reason> raises <error>
    Given a store that responds with <status> and "<reason>"
    When a record is appended
    Then it fails with <error>

    Examples:
      | status | reason | error           |
      | 429    |        | log_overloaded  |
      | 503    |        | log_overloaded  |
      | 507    |        | log_overloaded  |
      | 412    |        | end_moved       |
      | 409    | fenced | fenced          |
      | 409    | seq    | fenced          |
      | 500    |        | outcome_unknown |
      | 400    |        | records_refused |
      | 413    |        | records_refused |
      | 404    |        | platform_refused |

  # The length of a key takes one byte; the error was none that writers expect.
  Scenario Outline: A key of <bytes> bytes <outcome>
    Given a store that takes every record
    When a record with a key of <bytes> bytes is appended
    Then it <outcome>

    Examples:
      | bytes | outcome                    |
      | 255   | is stored                  |
      | 256   | fails with records_refused |

  Scenario: Logging never blocks on standard output
    Given a decision log whose pipe is full
    When 20000 lines are written
    Then that took less than 2 seconds
    And the number of dropped lines is logged once the pipe is read

  Scenario: Log lines are rate-limited by kind
    Given a decision log that writes 5 lines of a kind in a second
    When 50 lines are written within one second, and one later
    Then 5 of them were written, and a line reports 45 left out

  Scenario: A library's log record becomes a single line
    Given a decision log that writes 5 lines of a kind in a second
    When a library logs an error of 5000 characters with its traceback
    Then one line holds the library, the error's type and the shortened text

  Scenario: The metrics are valid in their exposition format
    Given metrics of two requests, a start and an end
    When they are parsed by the library's own parser
    Then exactly the documented metrics are present

  Scenario: The timeline of an id lists missing events and counts malformed lines
    Given logs of two daemons with 3 unreadable lines
    When the timeline of "j1" is built
    Then it is sorted by time across both daemons
    And it notes a run without an end, and 3 unreadable lines

  Scenario: The timeline of a job leads to the executors that crashed under it
    Given logs of a job under which an executor crashed
    When the timeline of "j1" is built
    Then it tells that executor "x" is gone, but nothing of "y"

  Scenario Outline: Settings of a scheduling daemon with <field>: <value> are refused
    Given settings of a scheduling daemon with <field>: <value>
    Then they are refused, and the message names "<field>"

    Examples:
      | field           | value  |
      | processor_share | 0      |
      | processor_share | -0.5   |
      | processor_share | .nan   |
      | processor_share | "much" |
      | processor_count | 0      |
      | processor_count | true   |
      | link_mbps       | 0      |
      | link_mbps       | [5]    |
      | link_speed      | 5      |

  Scenario Outline: The strength of a host follows from its settings: <case>
    Given settings of a scheduling daemon with <fields>
    Then the strength of its host is <strength>

    Examples:
      | case               | fields                                                      | strength |
      | no limits          | lease_s: 4                                                  | 1.0      |
      | a small host       | processor_share: 0.26, processor_count: 2, link_mbps: 5     | 0.167    |
      | a large host       | processor_share: 0.537, processor_count: 4, link_mbps: 100  | 1.0      |
      | processor only     | processor_share: 0.2, processor_count: 2                    | 0.4      |
      | link only          | link_mbps: 15                                               | 0.5      |

  Scenario: Every kind of decision is logged
    Given simulated daemons with seed 22
    When every kind of decision has been made
    Then every event documented for a deployment was logged
