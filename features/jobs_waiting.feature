@jobs
Feature: A job waits until an executor has begun one of its tasks

  # Jobs whose starts reached no executor were told as running.
  Scenario Outline: Jobs whose starts reach no executor are counted as waiting: <case>
    Given simulated daemons with seed <seed>, whose executors <births>
    When <before>
    And all executors are cut off for 9 s, and keeps its entry
    And 6 loads "w" of 2 tasks of 1 s arrive
    And 5 seconds pass
    And <event>
    Then 6 jobs wait at every daemon
    When 14 seconds pass
    Then 0 jobs wait at every daemon
    And every job of the pool is reported as completed
    And no invariant was violated

    Examples:
      | case               | seed | births | before          | event                                      |
      | the owner goes on  | 791  | have an id each life | 1 second passes | 1 second passes                            |
      | births             | 792  | tell their births    | 1 second passes | 1 second passes                            |
      | a successor        | 793  | have an id each life | 1 second passes | the owner is killed, and another one works |

  # A successor can't tell from a stored run whether it has begun.
  Scenario: A job that has begun is told as running, also by a successor
    Given simulated daemons with seed 794, whose executors have an id each life
    When 1 second passes
    And 6 loads "w" of 2 tasks of 9 s arrive
    And 1 second passes
    Then 0 jobs wait at every daemon
    When the owner is killed, and another one works
    Then 0 jobs wait at every daemon

  Scenario Outline: The state of a job with a run that was <run>
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When a start is sent to it
    And the start is <answer>
    Then the job of the run is <state>

    Examples:
      | run              | answer                      | state   |
      | not answered yet | not answered so far         | queued  |
      | not answered     | not answered in time        | queued  |
      | accepted         | accepted at 50 s of a clock | running |
      | accepted by another incarnation | accepted at 0.2 s of a clock | queued |

  Scenario Outline: The state of a job whose run a poll shows as <shown>
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When a start is sent to it
    And the start is not answered in time
    And a poll shows the run as <shown>
    Then the job of the run is <state>

    Examples:
      | shown   | state     |
      | nowhere | queued    |
      | running | running   |
      | failed  | running   |
      | done    | completed |
