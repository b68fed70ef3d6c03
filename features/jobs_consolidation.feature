@jobs
Feature: Hosts aren't kept in their pool by a few long-running tasks

  Long-running tasks land on many hosts while the others are busy. After the
  burst others have room for them.

  @invariant_budget
  Scenario Outline: Long-running tasks scattered in a burst come together: seed <seed>
    Given simulated daemons with seed <seed>
    When a burst leaves room for one long-running task on each of 4 hosts
    And a job of 4 long-running tasks, 1 unavailable at most, starts beside it
    Then its tasks are on 4 hosts
    When the burst is over and 20 seconds have passed
    Then its tasks are on 1 hosts
    And no more than 1 hosts are left in their pool
    And never more than 1 of its tasks were away at once
    And the log tells which hosts were emptied
    And no invariant was violated

    Examples:
      | seed |
      | 411  |
      | 412  |

  Scenario Outline: A host is emptied only if others have room: <case>
    Given a pool that needs <needed> hosts, and hosts with long-running tasks
      | tasks   | free_cores   | last_finite_s | per_host   | max_away   |
      | 2       | <free_first> | 9             | <per_host> | <max_away> |
      | 4       | <free_cores> | 9             | <per_host> | <max_away> |
      | <third> | 16           | 9             | <per_host> | <max_away> |
    Then the host that is emptied is number <emptied>

    Examples:
      | case                              | needed | free_first | free_cores | third | per_host | max_away | emptied |
      | the smaller one goes              | 1.0    | 12         | 8          | 0     | 0        | 1        | 0       |
      | the larger one, if it fits        | 1.0    | 12         | 1          | 0     | 0        | 1        | 1       |
      | no room on the other              | 1.0    | 3          | 1          | 0     | 0        | 1        | none    |
      | the pool needs all hosts          | 2.6    | 12         | 8          | 0     | 0        | 1        | none    |
      | at most four tasks on a host      | 1.0    | 12         | 8          | 0     | 4        | 1        | none    |
      | no task may be away               | 1.0    | 12         | 8          | 0     | 0        | 0        | none    |
      | a third host has the fewest tasks | 1.0    | 12         | 8          | 1     | 0        | 1        | 2       |

  Scenario: A long-running task doesn't stand beside hosts that are being emptied
    Given executors "a" and "b" that are being emptied of long-running tasks
    When a job of 6 long-running tasks waits for 1.5 seconds
    Then each of its tasks has started

  Scenario: A host with other runs of late is left alone
    Given a pool that needs 1.0 hosts, and hosts with long-running tasks
      | tasks | free_cores | last_finite_s | per_host | max_away |
      | 2     | 12         | 0.5           | 0        | 1        |
      | 4     | 8          | 0.5           | 0        | 1        |
    Then the host that is emptied is number none

  Scenario Outline: A host beyond what a pool needs is released after a while: <idle_s> s idle, <hosts> hosts for <needed>
    Given a pool of <hosts> hosts that needs <needed>, one of them idle for <idle_s> seconds
    Then the idle host is <outcome>

    Examples:
      | hosts | needed | idle_s | outcome  |
      | 2     | 0.47   | 0.5    | kept     |
      | 2     | 0.47   | 1.5    | kept     |
      | 2     | 0.47   | 3.5    | released |
      | 3     | 0.47   | 1.5    | released |
      | 2     | 0.8    | 3.5    | kept     |
      | 1     | 0.0    | 9.0    | kept     |
