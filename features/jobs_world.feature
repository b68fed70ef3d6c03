@jobs
Feature: Jobs are kept, run once and shown truly, whatever fails

  Daemons run over judging fakes in virtual time: every start, stop and order
  to a host is judged as it happens.

  @invariant_at_most_once
  Scenario: A job submitted to two daemons at once is one job
    Given daemons over fakes, with seed 1
    When job "a" of 4 and 4 tasks goes to daemons 0 and 1 at once
    And 6 seconds pass
    Then job "a" is shown as completed by every daemon
    And each task of "a" began once

  Scenario: An id can't stand for another job
    Given daemons over fakes, with seed 2
    When job "a" of 2 and 2 tasks goes to daemon 0
    And 1 second passes
    And job "a" of 3 and 1 tasks goes to daemon 1
    Then it was refused as job_conflict
    And no promise was broken

  Scenario Outline: What can't be accepted is refused at once: <case>
    Given daemons over fakes, with seed 3
    When <case> is submitted
    Then it was refused as <reason>
    And nothing of it is stored

    Examples:
      | case              | reason          |
      | an unreadable job | bad_request     |
      | a job without id  | bad_request     |
      | a job to no queue | unknown_service |

  @invariant_not_run
  Scenario: A job whose storing was not answered is never called not run
    Given daemons over fakes, with seed 4
    When daemon 1 loses every answer
    And job "a" of 2 and 2 tasks goes to daemon 1
    Then it was refused as answer_lost
    When 6 seconds pass
    And job "a" of 2 and 2 tasks goes to daemon 0
    Then it was accepted
    And each task of "a" began once

  @invariant_not_run
  Scenario: A job refused while the store is down never runs
    Given daemons over fakes, with seed 5
    When the store goes down
    And job "a" of 2 and 2 tasks goes to daemon 0
    Then it was refused as not_ready
    When the store comes back
    And 6 seconds pass
    Then no task of "a" has begun

  @invariant_at_most_once
  Scenario: A start that was not answered never makes a task run twice
    Given daemons over fakes, with seed 6
    When a third of all calls are carried out late, unanswered
    And 12 jobs of 3 and 2 tasks are submitted
    And 10 seconds pass
    And calls are answered again
    And 12 seconds pass
    Then every job is shown as completed
    And no promise was broken

  Scenario: An end is stored before the executor may forget it
    Given daemons over fakes, with seed 7
    When 6 jobs of 3 and 2 tasks are submitted
    And the owner is cut off from the store
    And 12 seconds pass
    Then every job is shown as completed
    And no promise was broken

  Scenario: Room is never exceeded while stops are under way
    Given daemons over fakes, with seed 8
    When 10 jobs of 16 and 4 tasks are submitted
    And 0.3 seconds pass
    And half of the jobs are cancelled
    And 10 jobs of 16 and 4 tasks are submitted
    And 20 seconds pass
    Then every job is shown as completed or cancelled
    And no promise was broken

  Scenario: A retry keeps tasks of a step apart
    Given daemons over fakes, with seed 9
    When executors on one host fail all they start
    And job "a" of 4 tasks, one on each host, goes to daemon 0
    And 8 seconds pass
    Then job "a" is shown as completed by every daemon
    And no promise was broken

  @invariant_budget
  Scenario: A wave takes no more lasting tasks away than allowed
    Given daemons over fakes, with seed 10
    When job "l" of 3 lasting tasks, 1 of them unavailable at most, starts
    And a wave over all hosts of its pool, 2 at once, within 20 seconds
    And 26 seconds pass
    Then the wave is reported as completed
    And every host of it was maintained
    And 3 tasks of "l" run
    And no promise was broken

  Scenario: A lasting task runs again soon after its host has crashed
    Given daemons over fakes, with seed 11
    When job "l" of 2 lasting tasks, 1 of them unavailable at most, starts
    And the host of a task of "l" crashes for 20 seconds
    And 6 seconds pass
    Then 2 tasks of "l" run
    And no promise was broken

  Scenario Outline: Another owner goes on when the owner is <lost>
    Given daemons over fakes, with seed 12
    When 10 jobs of 4 and 4 tasks are submitted
    And the owner is <lost>
    Then another owner is at work within 2 seconds
    When 15 seconds pass
    Then every job is shown as completed
    And no promise was broken

    Examples:
      | lost                   |
      | killed                 |
      | cut off from all       |
      | cut off from the store |
      | stopped in good order  |

  Scenario: Daemons that have lost everything go on from the store alone
    Given daemons over fakes, with seed 13
    When 10 jobs of 4 and 4 tasks are submitted
    And every daemon is killed
    And 15 seconds pass
    Then every job is shown as completed
    And no promise was broken

  Scenario: A cancelled job has no task left, and stays cancelled
    Given daemons over fakes, with seed 14
    When job "l" of 3 lasting tasks, 1 of them unavailable at most, starts
    And job "l" is cancelled at daemon 2
    And 2 seconds pass
    Then 0 tasks of "l" run
    And job "l" is shown as cancelled by every daemon

  @invariant_at_most_once
  Scenario: Entries of ended lives, read again, end no life that goes on
    Given daemons over fakes, with seed 15
    When hosts have moved between pools
    And 6 jobs of 6 and 4 tasks are submitted
    And the store forgets its history
    And 12 seconds pass
    Then every job is shown as completed
    And no promise was broken

  @invariant_at_most_once
  Scenario Outline: A new owner tells the lives of a host apart, seed <seed>
    Given daemons over fakes, with seed <seed>
    When 6 jobs of 6 and 4 tasks are submitted
    And a host crashes for 1 second and comes back
    And 2 seconds pass
    And the owner is killed
    And 15 seconds pass
    Then every job is shown as completed
    And no living executor was taken for ended
    And no promise was broken

    Examples:
      | seed |
      | 31   |
      | 32   |
      | 33   |

  @invariant_at_most_once
  Scenario: A new owner waits for an earlier one that renews leases alone
    Given daemons over fakes, with seed 35
    When 2 jobs of 3 and 2 tasks of 12 seconds are submitted
    And 1 second passes
    And only the owner reaches an executor with tasks
    And the owner is cut off from the store
    And 70 seconds pass
    Then every job is shown as completed
    And no promise was broken

  @invariant_at_most_once
  Scenario: A new owner waits for leases on executors that it can't reach
    Given daemons over fakes, with seed 34
    When 4 jobs of 6 and 6 tasks of 3 seconds are submitted
    And 1 second passes
    And an executor with tasks is cut off and runs on
    And the owner is killed
    And 50 seconds pass
    Then every job is shown as completed
    And no promise was broken

  Scenario: Broken and foreign records are skipped, with a line each
    Given daemons over fakes, with seed 16
    When broken records are written among the jobs and the entries
    And 3 jobs of 2 and 2 tasks are submitted
    And 6 seconds pass
    Then every job is shown as completed
    And each broken record was logged once by each reader of it

  Scenario: Tasks on an executor that stands still run again elsewhere
    Given daemons over fakes, with seed 19
    When executors on one host stand still
    And 4 jobs of 8 and 2 tasks are submitted
    And 12 seconds pass
    Then every job is shown as completed
    And no promise was broken

  Scenario: Hosts go on moving while daemons are rolled
    Given daemons over fakes, with seed 21
    When 30 jobs of 16 and 16 tasks are being submitted
    And owners are rolled 4 times, every 1.5 seconds
    And 1 second passes
    Then some of the owners have moved hosts
    And no promise was broken

  Scenario: A job that ended long ago is dropped everywhere
    Given daemons over fakes, with seed 20
    When 3 jobs of 2 and 2 tasks are submitted
    And 140 seconds pass
    Then every job is shown as unknown
    And nothing of the jobs is stored

  @invariant_config_in_force
  Scenario: A configuration that was dropped or is older changes nothing
    Given daemons over fakes, with seed 17
    When a newer configuration is written, then the older one, then none
    And 2 seconds pass
    Then every daemon has the newer configuration

  @invariant_at_most_once @search
  Scenario: Random troubles break no promise and lose no job
    When the troubles of seeds 300 to 325 are played
    Then no play broke a promise or left a job

  Scenario Outline: A new owner at once orders hosts left alone: <loss>
    Given daemons over fakes, with seed <seed>
    When 10 seconds pass
    And a wide job in pool "web" has hosts moved
    And the owner is <loss>
    And a wide job arrives in pool "ci"
    Then another owner moves a host within 2.5 seconds of the loss
    And no promise was broken

    Examples:
      | seed | loss                   |
      | 41   | killed                 |
      | 42   | cut off from all       |
      | 43   | cut off from the store |

  Scenario Outline: Callers' jobs don't hold up the next owner, seed <seed>
    Given daemons over fakes, with seed <seed>
    When 250 jobs arrive in each of 2 seconds, and the owner is killed
    Then another owner is at work within 1.65 seconds
    And the daemon that claims first owns it within 0.1 seconds

    Examples:
      | seed |
      | 51   |
      | 52   |
      | 53   |

  Scenario Outline: Calls that executors leave unanswered make few jobs late, seed <seed>
    Given daemons over fakes, with seed <seed>
    And 4 seconds pass
    When 5 in 100 calls of the owner are carried out seconds late
    And 40 jobs of 4 tasks of half a second arrive in 5 seconds
    And 12 seconds pass
    Then 9 of 10 of them were done within 2 seconds
    And no promise was broken

    Examples:
      | seed |
      | 61   |
      | 62   |
      | 63   |

  Scenario Outline: Jobs are still of use where the store loses answers, seed <seed>
    Given daemons over fakes, with seed <seed>
    And 4 seconds pass
    When the store loses a third of its answers
    And 40 jobs of 4 tasks of half a second arrive in 5 seconds
    And 25 seconds pass
    Then 9 of 10 of them were done within 6 seconds
    And no promise was broken

    Examples:
      | seed |
      | 83   |
      | 84   |
      | 85   |

  Scenario Outline: Hosts move where the store takes an append each 0.4 s, seed <seed>
    Given daemons over fakes, with seed <seed>
    And 4 seconds pass
    When the store takes an append each 0.4 s
    And 40 jobs of 4 tasks of half a second arrive in 5 seconds
    And 6 seconds pass
    Then hosts have moved since the jobs began to arrive
    And no promise was broken

    Examples:
      | seed |
      | 81   |
      | 82   |

  Scenario: A store that takes long to read counts as there
    Given daemons over fakes, with seed 91
    When a reading of the store takes 0.7 seconds longer
    And 6 seconds pass
    Then every daemon is ready at least 9 of 10 times in 5 seconds
    And there was one owner all the time

  Scenario: Daemons that all begin anew take jobs at once
    Given daemons over fakes, with seed 71
    When all daemons are killed, and begin anew after 2 seconds
    Then each of them is ready within 0.2 seconds
    And an owner is at work within 0.5 seconds

  Scenario: A daemon that leaves answers what it can't finish
    Given daemons over fakes, with seed 19
    And a store that nothing reaches
    And daemon 1 closes in 0.6 seconds
    When a job is submitted to daemon 1
    Then that is refused as answer_lost within 0.6 seconds
    When a job is submitted to daemon 1
    Then that is refused as shutting_down within 0.1 seconds

  @invariant_at_most_once
  Scenario Outline: An entry of an ended life that is stored late ends no other, seed <seed>
    Given daemons over fakes, with seed <seed>
    When hosts have moved between pools
    And the owner is killed
    And 3 seconds pass
    And 6 jobs of 6 and 4 tasks are submitted
    And entries of ended lives are stored again
    And 12 seconds pass
    Then every job is shown as completed
    And no task began more than once
    And no promise was broken

    Examples:
      | seed |
      | 15   |
      | 96   |
