@jobs
Feature: Jobs are durable, run once and are reported correctly despite failures

  Daemons run in virtual time on fakes of the platform, which check each start,
  stop and host operation against the invariants when it happens.

  @invariant_at_most_once
  Scenario: A job submitted to two daemons at once is stored as one job
    Given simulated daemons with seed 1
    When job "a" of 4 and 4 tasks is submitted to daemons 0 and 1 at once
    And 6 seconds pass
    Then job "a" is reported as completed by every daemon
    And each task of "a" started once

  Scenario: A job id can't be reused for another job
    Given simulated daemons with seed 2
    When job "a" of 2 and 2 tasks is submitted to daemon 0
    And 1 second passes
    And job "a" of 3 and 1 tasks is submitted to daemon 1
    Then it was refused as job_conflict
    And no invariant was violated

  Scenario Outline: An invalid submission is refused at once: <case>
    Given simulated daemons with seed 3
    When <case> is submitted
    Then it was refused as <reason>
    And nothing of it is stored

    Examples:
      | case              | reason          |
      | an unreadable job | bad_request     |
      | a job without id  | bad_request     |
      | a job to no queue | unknown_service |

  @invariant_not_run
  Scenario: A job whose append was not acknowledged is never reported as not run
    Given simulated daemons with seed 4
    When daemon 1 loses every response
    And job "a" of 2 and 2 tasks is submitted to daemon 1
    Then it was refused as answer_lost
    When 6 seconds pass
    And job "a" of 2 and 2 tasks is submitted to daemon 0
    Then it was accepted
    And each task of "a" started once

  @invariant_not_run
  Scenario: A job refused while the store is down never runs
    Given simulated daemons with seed 5
    When the store goes down
    And job "a" of 2 and 2 tasks is submitted to daemon 0
    Then it was refused as not_ready
    When the store comes back
    And 6 seconds pass
    Then no task of "a" has started

  @invariant_at_most_once
  Scenario: An unacknowledged start never makes a task run twice
    Given simulated daemons with seed 6
    When a third of all calls are executed late, without a response
    And 12 jobs of 3 and 2 tasks are submitted
    And 10 seconds pass
    And calls get responses again
    And 12 seconds pass
    Then every job is reported as completed
    And no invariant was violated

  Scenario: The end of a run is stored before the executor may discard it
    Given simulated daemons with seed 7
    When 6 jobs of 3 and 2 tasks are submitted
    And the owner is cut off from the store
    And 12 seconds pass
    Then every job is reported as completed
    And no invariant was violated

  Scenario: Capacity is never exceeded while stops are in progress
    Given simulated daemons with seed 8
    When 10 jobs of 16 and 4 tasks are submitted
    And 0.3 seconds pass
    And half of the jobs are cancelled
    And 10 jobs of 16 and 4 tasks are submitted
    And 20 seconds pass
    Then every job is reported as completed or cancelled
    And no invariant was violated

  Scenario: A retry respects the anti-affinity of a step
    Given simulated daemons with seed 9
    When the executor of one host fails every run
    And job "a" of 4 tasks, one on each host, is submitted to daemon 0
    And 8 seconds pass
    Then job "a" is reported as completed by every daemon
    And no invariant was violated

  @invariant_budget
  Scenario Outline: A wave keeps its limit while orders to hosts go unanswered: <lost> of them, seed <seed>
    Given simulated daemons with seed <seed>
    When <lost> of the answers of the host service are lost
    And a wave over its pool and idle hosts is requested, 2 at once, within 4 seconds
    And 15 seconds pass
    Then no invariant was violated
    When 0.0 of the answers of the host service are lost
    And 20 seconds pass
    Then the wave is reported as completed
    And no invariant was violated

    Examples:
      | lost | seed |
      | 0.3  | 971  |
      | 0.6  | 972  |
      | 0.6  | 973  |

  @invariant_budget
  Scenario: A maintenance wave interrupts no more long-running tasks than allowed
    Given simulated daemons with seed 10
    When job "l" of 3 long-running tasks, 1 unavailable at most, starts
    And a wave over its pool is requested, 2 at once, within 20 seconds
    And 26 seconds pass
    Then the wave is reported as completed
    And every host of the wave was maintained
    And 3 tasks of "l" run
    And no invariant was violated

  Scenario: A long-running task is restarted soon after its host crashes
    Given simulated daemons with seed 11
    When job "l" of 2 long-running tasks, 1 unavailable at most, starts
    And the host of a task of "l" crashes for 20 seconds
    And 6 seconds pass
    Then 2 tasks of "l" run
    And no invariant was violated

  Scenario Outline: Another owner takes over when the owner is <lost>
    Given simulated daemons with seed 12
    When 10 jobs of 4 and 4 tasks are submitted
    And the owner is <lost>
    Then another owner is active within 2 seconds
    When 15 seconds pass
    Then every job is reported as completed
    And no invariant was violated

    Examples:
      | lost                    |
      | killed                  |
      | cut off from everything |
      | cut off from the store  |
      | stopped gracefully      |

  Scenario: Daemons recover from the store alone
    Given simulated daemons with seed 13
    When 10 jobs of 4 and 4 tasks are submitted
    And every daemon is killed
    And 15 seconds pass
    Then every job is reported as completed
    And no invariant was violated

  Scenario: A cancelled job has no running task, and stays cancelled
    Given simulated daemons with seed 14
    When job "l" of 3 long-running tasks, 1 unavailable at most, starts
    And job "l" is cancelled at daemon 2
    And 2 seconds pass
    Then 0 tasks of "l" run
    And job "l" is reported as cancelled by every daemon

  @invariant_at_most_once
  Scenario: Rereading entries of ended incarnations ends no live executor
    Given simulated daemons with seed 15
    When hosts have moved between pools
    And 6 jobs of 6 and 4 tasks are submitted
    And the store compacts its history
    And 12 seconds pass
    Then every job is reported as completed
    And no invariant was violated

  @invariant_at_most_once
  Scenario Outline: A new owner distinguishes incarnations of a host, seed <seed>
    Given simulated daemons with seed <seed>
    When 6 jobs of 6 and 4 tasks are submitted
    And a host crashes for 1 second and comes back
    And 2 seconds pass
    And the owner is killed
    And 15 seconds pass
    Then every job is reported as completed
    And no live executor was treated as ended
    And no invariant was violated

    Examples:
      | seed |
      | 31   |
      | 32   |
      | 33   |

  @invariant_at_most_once
  Scenario: A new owner waits for a previous one that only renews leases
    Given simulated daemons with seed 35
    When 2 jobs of 3 and 2 tasks of 12 seconds are submitted
    And 1 second passes
    And only the owner can reach an executor with tasks
    And the owner is cut off from the store
    And 70 seconds pass
    Then every job is reported as completed
    And no invariant was violated

  @invariant_at_most_once
  Scenario: A new owner waits for leases on unreachable executors
    Given simulated daemons with seed 34
    When 4 jobs of 6 and 6 tasks of 3 seconds are submitted
    And 1 second passes
    And an executor with tasks is partitioned but keeps running
    And the owner is killed
    And 50 seconds pass
    Then every job is reported as completed
    And no invariant was violated

  Scenario: Malformed and unknown records are skipped, with one log line each
    Given simulated daemons with seed 16
    When malformed records are written to both partitions
    And 3 jobs of 2 and 2 tasks are submitted
    And 6 seconds pass
    Then every job is reported as completed
    And each malformed record was logged once by each daemon that reads it

  Scenario: Tasks on an executor that hangs are rerun elsewhere
    Given simulated daemons with seed 19
    When the executor of one host hangs
    And 4 jobs of 8 and 2 tasks are submitted
    And 12 seconds pass
    Then every job is reported as completed
    And no invariant was violated

  Scenario: Hosts go on moving while daemons are rolled
    Given simulated daemons with seed 21
    When 30 jobs of 16 and 16 tasks are submitted in the background
    And owners are restarted 4 times, every 1.5 seconds
    And 1 second passes
    Then some of the owners have moved hosts
    And no invariant was violated

  Scenario: A job that ended long ago is deleted everywhere
    Given simulated daemons with seed 20
    When 3 jobs of 2 and 2 tasks are submitted
    And 140 seconds pass
    Then every job is reported as unknown
    And nothing of the jobs is stored

  @invariant_config_in_force
  Scenario: A deleted or older configuration changes nothing
    Given simulated daemons with seed 17
    When a newer configuration is written, then the older one, then a deletion
    And 2 seconds pass
    Then every daemon has the newer configuration

  @invariant_at_most_once @search
  Scenario: Random faults violate no invariant and lose no job
    When simulations with random faults of seeds 300 to 325 run
    Then no simulation violated an invariant or left a job unfinished

  Scenario Outline: A new owner moves idle hosts without delay: <loss>
    Given simulated daemons with seed <seed>
    When 10 seconds pass
    And a wide job in pool "web" causes host moves
    And the owner is <loss>
    And a wide job arrives in pool "ci"
    Then another owner moves a host within 2.5 seconds of the loss
    And no invariant was violated

    Examples:
      | seed | loss                    |
      | 41   | killed                  |
      | 42   | cut off from everything |
      | 43   | cut off from the store  |

  Scenario Outline: Submissions don't delay the next owner, seed <seed>
    Given simulated daemons with seed <seed>
    When 250 jobs arrive in each of 2 seconds, and the owner is killed
    Then another owner is active within 1.65 seconds
    And a daemon owns the partition within 0.1 seconds of the first claim

    Examples:
      | seed |
      | 51   |
      | 52   |
      | 53   |

  Scenario Outline: Unacknowledged calls to executors delay few jobs, seed <seed>
    Given simulated daemons with seed <seed>
    And 4 seconds pass
    When 5 in 100 calls of the owner to executors are executed seconds late
    And 40 jobs of 4 tasks of half a second arrive in 5 seconds
    And 12 seconds pass
    Then 9 of 10 of them completed within 2 seconds
    And no invariant was violated

    Examples:
      | seed |
      | 61   |
      | 62   |
      | 63   |

  Scenario Outline: Jobs complete in time when the store loses responses, seed <seed>
    Given simulated daemons with seed <seed>
    And 4 seconds pass
    When the store loses a third of its responses
    And 40 jobs of 4 tasks of half a second arrive in 5 seconds
    And 25 seconds pass
    Then 9 of 10 of them completed within 6 seconds
    And no invariant was violated

    Examples:
      | seed |
      | 83   |
      | 84   |
      | 85   |

  Scenario Outline: Hosts move when the store takes 0.4 s for each append, seed <seed>
    Given simulated daemons with seed <seed>
    And 4 seconds pass
    When the store takes 0.4 s for each append
    And 40 jobs of 4 tasks of half a second arrive in 5 seconds
    And 6 seconds pass
    Then hosts have moved since the jobs began to arrive
    And no invariant was violated

    Examples:
      | seed |
      | 81   |
      | 82   |

  Scenario: A store with slow reads counts as available
    Given simulated daemons with seed 91
    When a read of the store takes 0.7 seconds longer
    And 6 seconds pass
    Then every daemon is ready at least 9 of 10 times in 5 seconds
    And there was a single owner throughout

  Scenario: Daemons that all restart accept jobs at once
    Given simulated daemons with seed 71
    When all daemons are killed and restarted after 2 seconds
    Then each of them is ready within 0.2 seconds
    And an owner is active within 0.5 seconds

  Scenario: A daemon that shuts down responds to unfinished submissions
    Given simulated daemons with seed 19
    And a store that no daemon can reach
    And daemon 1 shuts down in 0.6 seconds
    When a job is submitted to daemon 1
    Then that is refused as answer_lost within 0.6 seconds
    When a job is submitted to daemon 1
    Then that is refused as shutting_down within 0.1 seconds

  @invariant_at_most_once
  Scenario Outline: A late entry of an ended incarnation ends no other, seed <seed>
    Given simulated daemons with seed <seed>
    When hosts have moved between pools
    And the owner is killed
    And 3 seconds pass
    And 6 jobs of 6 and 4 tasks are submitted
    And entries of ended incarnations are stored again
    And 12 seconds pass
    Then every job is reported as completed
    And no task started more than once
    And no invariant was violated

    Examples:
      | seed |
      | 15   |
      | 96   |

  Scenario: Jobs that were stored without statuses are reported after an upgrade
    Given simulated daemons with seed 93, which find a done job "a" and a new job "b"
    When 5 seconds pass
    Then job "a" is reported as completed by every daemon
    And job "b" is reported as completed by every daemon
    And no task of "a" has started
    And nothing of the jobs is stored
    And no invariant was violated

  Scenario Outline: A wave displaces each long-running task once, and in time: seed <seed>
    Given simulated daemons with seed <seed>, and 12 hosts in each pool
    When job "l" of 12 long-running tasks, 2 unavailable at most, starts
    And a wave over its pool and idle hosts is requested, 8 at once, within 10 seconds
    And 10 seconds pass
    Then the wave is reported as completed
    And no task was displaced more than once
    And no invariant was violated

    Examples:
      | seed |
      | 41   |
      | 42   |
      | 43   |

  Scenario Outline: Moves that waited for the store follow the load of that time, seed <seed>
    Given simulated daemons with seed <seed>
    When 30 jobs of 16 tasks are submitted to "web" at once
    And the hosts of "web" are idle
    And intents to order hosts take 2 seconds to be stored
    And 2 seconds pass
    And 30 jobs of 16 tasks are submitted to "ci" at once
    And 3 seconds pass
    Then no host went from "web" to standby since then, and some went to "ci"
    And no invariant was violated

    Examples:
      | seed |
      | 96   |
      | 97   |

  Scenario Outline: Many hosts are ordered at once, as fast as their service accepts: <rate> a second
    Given simulated daemons with seed 98, and 16 hosts in each pool
    And 4 seconds pass
    When an order to a host takes 0.05 seconds, and <rate> a second are accepted
    And 120 jobs of 16 tasks are submitted to "web" at once
    And 4 seconds pass
    Then 20 hosts were ordered within <least> to <most> seconds
    And at most 8 orders were in flight
    And no invariant was violated

    Examples:
      | rate | least | most |
      | 200  | 0.0   | 0.4  |
      | 40   | 0.5   | 1.2  |
