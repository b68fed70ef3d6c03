@jobs
Feature: How many hosts a pool is found to need

  Each executor has 4 cores; tasks are declared to take 1 s.

  Scenario Outline: Steps that wait for room in a full pool ask for no host each: <case>
    Given a pool of <executors> executors, on each of which <running> tasks of one core run
    And <waiting> jobs of <tasks> tasks of <cores> cores, <limit> on each executor, that wait for 2 seconds
    When the load of the pool is measured
    Then its starved tasks need <starved> hosts

    Examples:
      | case                               | executors | running | waiting | tasks | cores | limit | starved |
      | the pool is full                   | 2         | 4       | 5       | 2     | 1     | 0     | 0       |
      | the pool is empty of executors     | 0         | 0       | 5       | 2     | 1     | 0     | 0       |
      | there is room, but on no executor  | 2         | 3       | 1       | 1     | 2     | 0     | 1       |
      | there is room, but for few of each | 2         | 0       | 1       | 5     | 1     | 1     | 3       |

  Scenario Outline: Work that is late asks for fewer hosts than work in time: <age>
    Given a pool of 0 executors, on each of which 0 tasks of one core run
    And 4 jobs of 12 tasks of 1 cores, 0 on each executor, that wait for <age> seconds
    When the load of the pool is measured
    Then it needs <least> to <most> hosts

    Examples:
      | age | least | most |
      | 0.1 | 6     | 8    |
      | 9   | 1     | 3    |

  Scenario: A pool in a burst gets hosts before one that has only late work left
    Given pools with these loads
      | pool  | hosts | lasting | rate | backlog_s | starved | idle | late_s |
      | busy  | 2     | 0       | 6    | 8         | 0       | 0    | 0      |
      | small | 12    | 0       | 0    | 0         | 0       | 6    | 30     |
    When host moves are planned
    Then 6 hosts move to "busy", 0 to "small" and 0 to "off"
