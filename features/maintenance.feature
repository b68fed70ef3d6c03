@maintenance
Feature: Maintenance respects budgets and interrupts no request or task

  @invariant_budget @invariant_graceful_stop
  Scenario Outline: A wave reboots each host exactly once with <fault>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the wave runs with <fault>
    Then every host of the wave was rebooted once and is back
    And no budget was exceeded and nothing was interrupted

    Examples:
      | fault                                  |
      | no fault                               |
      | a lost response from drain             |
      | a lost response from reboot            |
      | a lost response from restore           |
      | a late drain                           |
      | a late reboot                          |
      | a late restore                         |
      | a lost response from the log           |
      | the holder crashed at granted          |
      | the holder crashed at quiet            |
      | the holder crashed at drained          |
      | the holder crashed at stopping         |
      | the holder crashed at healthy          |
      | the holder paused at granted           |
      | the holder paused at drained           |
      | the holder paused at stopping          |
      | a rack failure                         |
      | a zone partition for 120 s             |
      | the log unavailable for 60 s           |
      | the file pausing and resuming the wave |
      | opposing file changes                  |
      | tasks admitted again at drained        |
      | tasks admitted again at stopping       |

  @invariant_budget
  Scenario: Only one of two concurrent requests for hosts is granted
    Given entry hosts and a wave over the hosts of "pr-checker"
    When two daemons request two hosts concurrently
    Then exactly 1 of the two is granted

  Scenario Outline: A grant is <verdict> by another daemon <when>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When another daemon tries to take over a grant <when>
    Then the grant is <verdict>

    Examples:
      | when                                           | verdict        |
      | while its holder renews it                     | not taken over |
      | immediately after its holder was replaced      | not taken over |
      | immediately after its holder was declared dead | not taken over |
      | after its holder left                          | taken over     |
      | 29 s after the last record of its holder       | not taken over |
      | 31 s after the last record of its holder       | taken over     |

  @invariant_budget
  Scenario: A holder without the log makes no call after its permission expires
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the log and the reboot service fail and only the latter recovers
    Then no host was rebooted

  @invariant_budget
  Scenario Outline: A request for <target> is rejected
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a daemon requests <target>
    Then the request is rejected because "<reason>"

    Examples:
      | target                                     | reason           |
      | a host that is down                        | is reported down |
      | a host beside a failed one                 | would miss 2     |
      | a host with no downtime left in the window | of downtime left |
      | a host of another pool                     | is not in wave   |
      | a host before the wave starts              | starts at        |
      | a host of a paused wave                    | is paused        |
      | a host without being a member              | is not a member  |

  @invariant_budget
  Scenario: Downtime by a failure during planned work is charged only once
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a host has 100 s of planned work with a failure of 50 s in it
    Then 100 executor seconds of "pr-checker" are spent

  @invariant_budget
  Scenario: A granted host is released when a failure exhausts the budget
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a host fails after another was granted
    Then the granted host is released without a reboot

  Scenario: A host that never comes back is reported and counted as down
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the first host of the wave never comes back
    Then its reason says "stopping"
    And no other host of the service is disrupted
    And no budget was exceeded and nothing was interrupted

  @invariant_graceful_stop
  Scenario: An unreachable zone blocks the wave and every daemon reports why
    Given entry hosts and a wave over the hosts of "pr-checker"
    When zone "cz-b" is partitioned off before the wave starts
    Then no host is stopped
    And every reachable daemon gives the reason "'cz-b' is silent"

  @invariant_graceful_stop
  Scenario Outline: With an unresponsive entry host the wave <verdict> when <what>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When an entry host stops responding and <what>
    Then the wave <verdict>

    Examples:
      | what                             | verdict  |
      | the list has omitted it for 60 s | proceeds |
      | the list has omitted it for 12 s | waits    |
      | the list still contains it       | waits    |
      | an operator declares it dead     | proceeds |

  Scenario: A daemon without the log requests no host and reports why
    Given entry hosts and a wave over the hosts of "pr-checker"
    When the log is down when a scheduled wave starts
    Then no daemon tried to request a host
    And every reachable daemon gives the reason "the log can not be read"

  @invariant_graceful_stop
  Scenario Outline: Acknowledgements received <when> <verdict>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When all daemons acknowledge a grant 1 s <when>
    Then the acknowledgements <verdict>

    Examples:
      | when                   | verdict      |
      | before the outage ends | do not count |
      | after the outage ends  | count        |

  @invariant_one_pool
  Scenario: A granted move completes after its wave is removed from the file
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a move wave is removed from the file while its host is stopping
    Then the host is in pool "spare-pool" on every daemon and was not rebooted

  @invariant_budget @invariant_graceful_stop
  Scenario: Random sequences of faults violate no invariant
    Given fixed seeds for the random faults
    Then no sequence of faults violates an invariant
