@pages
Feature: The command line reports results to scripts and operators

  Scenario Outline: <case> ends with exit code <code>
    Given command-line settings whose entry host is not reachable
    When the command line runs "<arguments>"
    Then the exit code is <code>
    And the message names "<named>"
    And no stack trace is printed

    Examples:
      | case               | arguments                          | code | named                |
      | no command         |                                    | 2    | COMMAND              |
      | an unknown option  | status --colour                    | 2    | --colour             |
      | an unknown format  | status --output xml                | 2    | xml                  |
      | an unreadable file | validate nowhere.yaml              | 2    | nowhere.yaml         |
      | no settings        | --settings none.yaml status        | 2    | none.yaml            |
      | apply of nothing   | apply                              | 2    | FILE or --resume     |
      | apply of two       | apply examples/vltava.yaml --resume x | 2 | FILE or --resume     |
      | no entry host      | status                             | 5    | check the addresses  |
      | apply to no host   | apply examples/vltava.yaml         | 5    | check the addresses  |
      | resume at no host  | apply --resume x                   | 5    | check the addresses  |
      | plan at no host    | plan examples/vltava.yaml          | 5    | check the addresses  |

  Scenario Outline: A valid file is summarized as <form>
    Given command-line settings whose entry host is not reachable
    When the command line runs "validate examples/<file> --output <form>"
    Then the exit code is 0
    And the output is <form> and contains "endpoints"

    Examples:
      | file          | form  |
      | vltava.yaml   | table |
      | vltava.yaml   | json  |
      | qalamdar.yaml | yaml  |

  Scenario Outline: A table of <rows> fits 80 columns and omits nothing
    When a table of <rows> is printed
    Then no line is longer than 80 characters
    And every cell can be read from it

    Examples:
      | rows                       |
      | long audit entries         |
      | a hundred hosts in a cell  |
      | nine columns               |
      | one short row              |
      | one mapping                |
      | two sections               |

  @invariant_budget
  Scenario Outline: A plan says that a wave is <verdict> under <budget>
    Given a fleet whose service "portal" may miss <count> and must survive "<survive>"
    When its wave over "portal-pool" is evaluated
    Then <refused> of its 6 hosts can never be taken out of service
    And <at_once> of them may be out of service at once

    Examples:
      | verdict   | budget             | count | survive | refused | at_once |
      | possible  | one spare          | 1     | none    | 0       | 1       |
      | possible  | three spare        | 3     | none    | 0       | 3       |
      | stuck     | no spare           | 0     | none    | 6       | 0       |
      | stuck     | no spare beside it | 1     | host    | 6       | 0       |
      | possible  | a spare beside it  | 2     | host    | 0       | 1       |
      | stuck     | a rack too large   | 2     | rack    | 6       | 0       |
      | possible  | room for a rack    | 3     | rack    | 0       | 1       |

  @invariant_budget
  Scenario: A plan says that a window's downtime is too short for a wave
    Given a fleet whose service "portal" may miss 1 for 60 s in 3600 s
    When its wave over "portal-pool" is evaluated
    Then 6 of its 6 hosts can never be taken out of service

  Scenario Outline: Changes of a file are listed as <change>
    Given a fleet file that differs by <difference>
    When the difference is listed
    Then it is one row "<change> <section> <name>"

    Examples:
      | difference       | change  | section    | name        |
      | a new zone       | add     | zones      | cz-z        |
      | a removed pool   | remove  | pools      | portal-pool |
      | a changed quota  | change  | workspaces | vltava      |
      | no weights       | remove  | weights    | -           |

  Scenario Outline: The daemon refuses to start with <fault>
    Given the daemon's settings with <fault>
    When the daemon is asked to start
    Then the exit code is <code>
    And the message is one line that names "<named>"

    Examples:
      | fault                    | code | named             |
      | an unreadable file       | 2    | none.yaml         |
      | an unknown zone          | 2    | 'cz-z'            |
      | a port in use            | 3    | callers_address   |
      | a foreign address        | 3    | control_address   |

  Scenario: Settings can be checked before a start
    Given the daemon's settings with a port in use
    When the daemon is asked to check them
    Then the exit code is 0
