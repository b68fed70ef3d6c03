@jobs
Feature: A store that is slow, not away, stops nothing

  A partition of the store processes one append at a time. With 0.123 s for
  each, it takes 8 a second.

  Scenario Outline: Submissions are stored while a partition takes 8 appends a second: <partitions> partitions
    Given 9 simulated daemons with seed <seed>, whose submissions have <partitions> partitions
    When the store takes 0.123 s for each append
    And 40 jobs a second arrive for 6 seconds
    Then at least <share> of them were accepted within 2.7 seconds
    And no invariant was violated

    Examples:
      | partitions | seed | share |
      | 16         | 301  | 0.99  |
      | 16         | 302  | 0.99  |

  Scenario: Jobs are done in time beside a slow store
    Given 9 simulated daemons with seed 303, whose submissions have 16 partitions
    When the store takes 0.123 s for each append
    And 20 jobs a second arrive for 4 seconds
    And 6 seconds pass
    Then at least 0.9 of them were done within 4 seconds
    And no invariant was violated

  Scenario: A repeat sent to another daemon is the same job
    Given 3 simulated daemons with seed 304, whose submissions have 4 partitions
    When job "a" of 4 and 4 tasks is submitted to daemons 0 and 1 at once
    And 6 seconds pass
    Then job "a" is reported as completed by every daemon
    And each task of "a" started once
    And nothing is stored of the submissions that have ended

  Scenario: Jobs of an owner that reads one partition go to that one
    Given 3 simulated daemons with seed 305, whose submissions have 4 partitions
    And an owner of an earlier version
    When job "a" is accepted by a daemon
    Then it is stored in the partition of the jobs

  Scenario: A new owner finds what was stored in all partitions
    Given 3 simulated daemons with seed 306, whose submissions have 4 partitions
    When 10 jobs of 4 and 4 tasks are submitted
    And every daemon is killed
    And 15 seconds pass
    Then every job is reported as completed
    And no invariant was violated

  Scenario: A finished job whose submission is still stored doesn't run again
    Given 3 simulated daemons with seed 307, whose submissions have 4 partitions
    When submissions can't be deleted
    And 3 jobs of 2 and 2 tasks are submitted
    And 140 seconds pass
    And the owner is killed
    And 6 seconds pass
    Then every job is reported as completed
    And no task started more than once
    And it was logged that submissions are not deleted

  Scenario Outline: A slow store makes no copies of appends that wait for it: reads take <read_s> s
    Given a store whose reads take <read_s> seconds
    When an append takes 0.6 seconds
    Then it is sent <times> times

    Examples:
      | read_s | times |
      | 0.01   | 2     |
      | 0.2    | 1     |

  Scenario: A job that was stored although its answer was lost is told as accepted
    Given 3 simulated daemons with seed 308, whose submissions have 4 partitions
    When daemon 1 loses the answers to its appends
    And job "a" of 2 and 2 tasks is submitted to daemon 1
    Then it was accepted
    And each task of "a" started once

  @invariant_not_run
  Scenario: A submission that waits behind a lost append is refused, and never runs
    Given 3 simulated daemons with seed 309, whose submissions have 1 partitions
    When the store takes 9 s for each append
    And jobs "a" and "b" are submitted to daemon 1, one after the other
    Then "a" was refused as answer_lost and "b" as not_ready
    When 30 seconds pass
    Then no task of "b" has started

  @search
  Scenario: Random faults violate no invariant with submissions in partitions
    When simulations with random faults and partitions of seeds 500 to 511 run
    Then no simulation violated an invariant or left a job unfinished
