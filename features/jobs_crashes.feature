@jobs
Feature: A task that crashes each executor that starts it is given up

  Two executors may crash under a task before it is given up, and innocent
  tasks beside it must not be.

  Scenario Outline: A task that crashes executors is started again without end, seed <seed>
    Given simulated daemons with seed <seed>
    When 6 jobs of 4 and 4 tasks are submitted
    And job "bad" of 4 tasks, one of which crashes its executor after 0.01 s, is submitted
    And 6 jobs of 4 and 4 tasks are submitted
    And 25 seconds pass
    Then job "bad" is reported as failed by every daemon
    And 2 executors have crashed under it
    And every other job is reported as completed
    And no invariant was violated

    Examples:
      | seed |
      | 701  |
      | 702  |

  Scenario: A successor forgets the executors that crashed under a task
    Given simulated daemons with seed 703
    When job "bad" of 4 tasks, one of which crashes its executor after 0.01 s, is submitted
    And the owner is killed after each crash, for 30 seconds
    Then job "bad" is reported as failed by every daemon
    And at most 3 executors have crashed under it
    And no invariant was violated
