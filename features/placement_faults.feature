@placement
Feature: Placement keeps its invariants under faults

  The production placers and fold run against a log and workers with injected
  faults. After every turn the state of the workers is checked: no job runs
  twice at the same time or after its end was recorded, no host is
  over-committed and no task is stopped unless it was cancelled. The ledger
  is also compared with a count over all jobs.

  @invariant_graceful_stop
  Scenario Outline: <fault>
    Given placers d1 and d2
    When the fault occurs: <fault>
    Then job a is <a> after <starts> starts

    Examples: Log and daemons
      | fault                                               | a    | starts |
      | nothing                                             | done | 1      |
      | both daemons place into the last free capacity      | done | 1      |
      | every record is stored twice in the log             | done | 1      |
      | responses of the log are lost                       | done | 1      |
      | the holder leaves and another takes its jobs        | done | 1      |
      | the holder is paused and resumed                    | done | 1      |
      | the holder can not reach the log and keeps renewing | done | 2      |
      | the log is down for ten minutes                     | done | 1      |
      | the log is down when the job ends                   | done | 1      |

    Examples: Workers
      | fault                                          | a         | starts |
      | the response to a start is lost                | done      | 1      |
      | a start is delayed until the job is cancelled  | cancelled | 0      |
      | the response to a stop is lost                 | cancelled | 1      |
      | the response to a checkpoint is lost           | done      | 2      |
      | a worker reboots and loses its state           | done      | 2      |
      | a host is permanently down                     | done      | 2      |
      | a host is briefly unresponsive                 | done      | 1      |
      | a host is removed but still listed             | done      | 1      |
      | a draining host runs a job without checkpoints | done      | 1      |
      | a draining host runs a job with checkpoints    | done      | 2      |
      | a draining host was about to start a job       | done      | 1      |

    Examples: Urgent work on a full pool
      | fault                                        | a       | starts |
      | long work is throttled and resumed           | done    | 1      |
      | memory is short so long work is checkpointed | done    | 1      |
      | the daemon is lost after it throttled        | running | 1      |
      | a late resume meets a newer throttle         | running | 1      |

  Scenario: A worker that fails every task is put in quarantine and probed
    Given placers d1 and d2
    When 24 jobs run while host h1 fails every task
    Then all of them are done
    And host h1 was tried at most 8 times
    And host h1 is in quarantine, and released after it recovers

  Scenario: A job that fails on every host ends, and no host is quarantined
    Given placers d1 and d2
    When job a and 9 others fail on every host
    Then job a is failed after 0 starts
    And no host is in quarantine

  Scenario: A thousand cancellations at once
    Given placers d1 and d2
    When 1000 jobs run and are cancelled in one burst
    Then every job is cancelled within 15 turns of 210 calls

  Scenario: A job that can not run any more is refused
    Given placers d1 and d2
    When the only large host leaves the pool while job a waits for it
    Then job a is refused after 0 starts

  Scenario Outline: Any interleaving of faults keeps every promise, seed <seed>
    When 60 random events occur with 3 placers and seed <seed>
    Then every job ends once the faults are over

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
