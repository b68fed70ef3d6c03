@jobs
Feature: Executors whose capacity shrinks and grows while they run

  What runs stays, even if it exceeds the capacity. Nothing starts until it
  fits.

  Scenario Outline: A capacity that can't be read offers no room: <case>
    When the entry of an executor tells the capacity <capacity>
    Then its capacity is <cores> cores and <memory> MB

    Examples:
      | case               | capacity                       | cores | memory |
      | as usual           | {"cpu": 16000, "mem-mb": 64}   | 16    | 64     |
      | nothing            | null                           | 0     | 0      |
      | an empty one       | {}                             | 0     | 0      |
      | no room left       | {"cpu": 0, "mem-mb": 0}        | 0     | 0      |
      | a negative number  | {"cpu": -4000, "mem-mb": 64}   | 0     | 0      |
      | a text             | {"cpu": "many", "mem-mb": 64}  | 0     | 0      |
      | a truth value      | {"cpu": true, "mem-mb": 64}    | 0     | 0      |
      | a list             | [16000, 64]                    | 0     | 0      |

  Scenario Outline: An executor whose entry can't be read offers no room: <case>
    Given a reader of entries that has read one of 16 cores
    When it reads <value> for the same executor
    Then the executor is known to have 0 cores
    When it reads the first entry again
    Then the executor is known to have 16 cores

    Examples:
      | case           | value                                                              |
      | no JSON        | {                                                                  |
      | a huge number  | {"service":"s","address":"a:1","zone":"z","state":"ready","capacity":{"cpu":1e300}} |
      | not a number   | {"service":"s","address":"a:1","zone":"z","state":"ready","capacity":{"cpu":NaN}}   |
      | no state       | {"service":"s","address":"a:1","zone":"z"}                          |

  Scenario: Nothing starts on a shrunk executor until what runs there fits
    Given a scheduler with executors "x0"
    When jobs "a, b, c" of 1 task start
    And "x0" shrinks to 2 cores
    And a job "new" of 1 task is added
    Then the next starts are of ""
    When the run of "a" on "x0" ends
    Then the next starts are of ""
    When the run of "b" on "x0" ends
    Then the next starts are of "new"
    When "x0" shrinks to 0 cores
    And a job "later" of 1 task is added
    Then the next starts are of ""
    When "x0" grows to 4 cores
    Then the next starts are of "later"

  Scenario Outline: A start that waited for the store isn't sent to an executor that <change>
    Given simulated daemons with seed 720
    When the store takes 0.6 seconds for an append
    And job "a" of 3 and 1 tasks is submitted to daemon 0
    And starts are planned, and each executor <change>
    And 4 seconds pass
    Then no task of "a" has started on them
    When each executor is as before, and the store is fast again
    And 10 seconds pass
    Then job "a" is reported as completed by every daemon
    And no invariant was violated

    Examples:
      | change                   |
      | shrinks to nothing       |
      | begins to leave          |

  Scenario: Nothing starts by readings of executors that are old
    Given simulated daemons with seed 721
    When job "l" of 3 long-running tasks, 1 unavailable at most, starts
    And only the partition of the executors' entries can't be read
    And 5 seconds pass
    And job "a" of 3 and 1 tasks is submitted to daemon 0
    And 4 seconds pass
    Then no task of "a" has started
    When the partition can be read again
    And 6 seconds pass
    Then 3 tasks of "l" run
    And job "a" is reported as completed by every daemon
    And no invariant was violated

  Scenario: A shrunk executor counts as what is left of a host
    Given a pool of 4 executors, on each of which 0 tasks of one core run
    When 3 of its executors shrink to 1 core
    And the load of the pool is measured
    Then it has 1.75 usable hosts

  Scenario: A pool whose executors have no room left asks for hosts
    Given a pool of 4 executors, on each of which 0 tasks of one core run
    When 4 of its executors shrink to 0 core
    And 4 jobs of 4 tasks of 1 core have waited for 0.1 seconds
    And the load of the pool is measured
    Then it needs 1 to 2 hosts
    And it has 0 usable hosts

  @search
  Scenario: Executors that shrink and grow violate no invariant
    When simulations with random faults and changes of capacity of seeds 2000 to 2007 run
    Then no simulation violated an invariant or left a job unfinished
