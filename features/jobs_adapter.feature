@jobs
Feature: The adapter reads whatever comes, and the logs tell what was made of it

  Scenario Outline: Bad <what> are told, never raised as anything else
    When 300 random variants of <what> are read
    Then each was read or refused as unreadable

    Examples:
      | what               |
      | jobs               |
      | configurations     |
      | executors' entries |
      | waves              |
      | looks              |
      | pages of records   |

  Scenario: Records come back as they were written
    When 200 random records are written and read back
    Then they are the same

  Scenario Outline: An executor's answer to a start is understood: <status> <reason>
    When an executor answers a start with <status> and "<reason>"
    Then that means <meaning>

    Examples:
      | status | reason | meaning   |
      | 200    |        | accepted  |
      | 409    | fence  | fenced    |
      | 409    | old    | old_run   |
      | 409    | late   | too_late  |
      | 409    | room   | no_room   |
      | 409    | ticket | bad_ticket |
      | 409    | other  | unknown   |
      | 400    |        | invalid   |
      | 421    |        | gone      |
      | 429    |        | unhealthy |
      | 503    |        | unhealthy |
      | 500    |        | unknown   |

  Scenario Outline: The store's answer <status> <reason> is <error>
    Given a store that answers <status> and "<reason>"
    When a record is appended
    Then it fails with <error>

    Examples:
      | status | reason | error             |
      | 429    |        | log_overloaded    |
      | 503    |        | log_overloaded    |
      | 507    |        | log_overloaded    |
      | 412    |        | end_moved         |
      | 409    | fenced | fenced            |
      | 409    | seq    | fenced            |
      | 500    |        | outcome_unknown   |

  Scenario: Nobody waits for standard output
    Given a decision log whose pipe is full
    When 20000 lines are written
    Then that took less than 2 seconds
    And the lines that were dropped are told once the pipe is read

  Scenario: A kind of line is written so often and no more
    Given a decision log that writes 5 lines of a kind in a second
    When 50 lines are written within one second, and one later
    Then 5 of them came, and a line tells that 45 were left out

  Scenario: What libraries log becomes one line each
    Given a decision log that writes 5 lines of a kind in a second
    When a library logs an error of 5000 characters with its traceback
    Then one line tells the library, the error's type and the text in short

  Scenario: The metrics parse as their format says
    Given metrics of two requests, a start and an end
    When they are parsed by the library's own parser
    Then each metric of the page is there, and no other

  Scenario: The story of an id names what is missing, and counts bad lines
    Given logs of two daemons with 3 lines that can't be read
    When the story of "j1" is told
    Then it is in order of time, over both daemons
    And it notes a run without an end, and 3 lines that can't be read

  Scenario: Each kind of decision leaves its line
    Given daemons over fakes, with seed 22
    When everything that is decided has been played
    Then each event that the page lists for a deployment was written
