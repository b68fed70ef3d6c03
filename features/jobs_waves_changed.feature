@jobs
Feature: Hosts are kept for a wave because of what it says now

  A wave's newest record counts. What was decided for an earlier one, or for a
  plan that has changed since, keeps no host from its work.

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
