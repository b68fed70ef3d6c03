@jobs
Feature: Hosts are kept for a wave because of what it says now

  A wave's newest record counts. What was decided for an earlier one, or for a
  plan that has changed since, keeps no host from its work.

  # Hosts that were drained for a wave stayed reserved for good when a newer
  # record of it no longer named them.
  Scenario Outline: Hosts that a wave no longer names get new tasks again: <change>, seed <seed>
    Given a pool of 6 hosts beside another, with seed <seed>
    When each host runs a task of 16 s, and a wave over the pool takes 5 at once within 24 s
    And 8 seconds pass
    And <change>
    And 10 seconds pass
    And a job of 4 lasting tasks arrives
    And 4 seconds pass
    Then 4 of its tasks run
    And hosts are logged as not emptied unless the owner died
    And no host outside the wave was maintained
    And no invariant was violated

    Examples:
      | seed | change                                    |
      | 1101 | the wave names a host of another pool     |
      | 1102 | the wave names no host                    |
      | 1103 | the wave names a host, and the owner dies |

  # All hosts that were due were closed to long-running tasks from the begin of
  # the wave, however long it lasted.
  Scenario Outline: A lasting task that fails within a long wave starts again, seed <seed>
    Given a pool of <hosts> hosts beside another, with seed <seed>
    When a job of <tasks> lasting tasks arrives, and short tasks keep all hosts at work
    And a wave over the pool takes 1 at once within <limit> s
    And one of these tasks fails after 14 s, and one after 30 s
    Then neither was away for more than 6 s, while others had room
    And no invariant was violated

    Examples:
      | seed | hosts | tasks | limit |
      | 1111 | 6     | 4     | 240   |
      | 1112 | 6     | 4     | 120   |
      | 1113 | 6     | 5     | 600   |
      | 1114 | 3     | 2     | 240   |

  Scenario: Long-running tasks go to hosts that aren't due first
    Given executors "x0, x1, x2", of which "x0, x1" are due for maintenance
    When 2 lasting tasks start, one on each executor at most
    Then one runs on "x2", and the other one on a host that is due
    And neither can be displaced to a host that is due
