@maintenance
Feature: Maintenance keeps budgets and cuts nothing off

  @invariant_budget @invariant_graceful_stop
  Scenario Outline: A wave is done once for each host in spite of <fault>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the wave runs with <fault>
    Then every host of the wave was rebooted once and is back
    And no budget was broken and nothing was cut off

    Examples:
      | fault                           |
      | no fault                        |
      | a lost answer of drain          |
      | a lost answer of reboot         |
      | a lost answer of restore        |
      | a late drain                    |
      | a late reboot                   |
      | a late restore                  |
      | a lost answer of the log        |
      | the holder lost at granted      |
      | the holder lost at quiet        |
      | the holder lost at drained      |
      | the holder lost at stopping     |
      | the holder lost at healthy      |
      | the holder paused at granted    |
      | the holder paused at drained    |
      | the holder paused at stopping   |
      | a rack lost in mid-wave         |
      | a zone cut off for a while      |
      | the log down for a while        |
      | the file paused and run again   |
      | opposite files in mid-wave      |
      | tasks let in again at drained   |
      | tasks let in again at stopping  |

  @invariant_budget
  Scenario: Of two daemons that ask at one moment one is granted
    Given entry hosts and a wave over the hosts of "pr-checker"
    When two daemons ask for two hosts at one moment
    Then exactly 1 of the two is granted

  Scenario Outline: A grant is <verdict> by another <when>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When another daemon asks to carry a grant on <when>
    Then the grant is <verdict>

    Examples:
      | when                                      | verdict        |
      | while its holder renews it                | not taken over |
      | right after its holder was replaced       | not taken over |
      | right after its holder was declared dead  | not taken over |
      | once its holder left                      | taken over     |
      | 29 s after its holder was heard           | not taken over |
      | 31 s after its holder was heard           | taken over     |

  @invariant_budget
  Scenario: A holder without the log makes no call once others may act
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the log and the reboot service fail together and only one mends
    Then no host was rebooted

  @invariant_budget
  Scenario Outline: The fold refuses <ask>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a daemon asks for <ask>
    Then it is refused because "<reason>"

    Examples:
      | ask                              | reason                     |
      | a host that is down              | is reported down           |
      | a host beside a failed one       | would miss 2               |
      | a host with the window spent     | of downtime left           |
      | a host of another pool           | is not in wave             |
      | a host before the wave starts    | starts at                  |
      | a host of a paused wave          | is paused                  |
      | a host as a stranger             | is not a member            |

  @invariant_budget
  Scenario: Failures and planned work are charged once in the window
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a host is worked on for 100 s and fails for 50 s in their midst
    Then 100 executor seconds of "pr-checker" are spent

  @invariant_budget
  Scenario: A host is given back when a failure uses its budget up
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a host fails after another was granted
    Then the granted host is given back without a reboot

  Scenario: A host that never comes back is explained and charged
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the first host of the wave never comes back
    Then its reason says "stopping"
    And no other host of the service is taken
    And no budget was broken and nothing was cut off

  @invariant_graceful_stop
  Scenario: A silent zone holds the wave and every daemon says why
    Given entry hosts and a wave over the hosts of "pr-checker"
    When zone "cz-b" stays cut off before the wave starts
    Then no host is stopped
    And every daemon that is not cut off explains "'cz-b' is silent"

  @invariant_graceful_stop
  Scenario Outline: One silent entry host is <verdict> when <what>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When an entry host falls silent and <what>
    Then the wave <verdict>

    Examples:
      | what                                       | verdict |
      | it is gone from the list for long          | goes on |
      | it is gone from the list only now          | waits   |
      | the list still has it                      | waits   |
      | an operator declares it dead               | goes on |

  Scenario: A daemon without the log asks for nothing and says so
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the log is down when an announced wave begins
    Then no daemon tried to ask for a host
    And every daemon that is not cut off explains "the log can not be read"

  @invariant_graceful_stop
  Scenario Outline: An acknowledgement heard <when> <verdict>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When everyone acknowledges a grant 1 s <when>
    Then the acknowledgements <verdict>

    Examples:
      | when                   | verdict      |
      | before the outage ends | do not count |
      | after the outage ends  | count        |

  @invariant_one_pool
  Scenario: A move goes on by its grant when the file forgets the wave
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the wave becomes a move and is forgotten while a host is stopping
    Then the host is in pool "spare-pool" everywhere and was not rebooted

  @invariant_budget @invariant_graceful_stop
  Scenario: Random faults in any order break no invariant
    Given seeds fixed by hypothesis
    Then no order of faults breaks an invariant
