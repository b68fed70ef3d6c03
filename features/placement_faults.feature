@placement
Feature: Placement keeps its promises through faults

  The real placers and the real fold run against a log and workers that show
  faults. After every turn the workers' own counts are checked: no job runs
  twice at a time, none after its end was told, no host is over-committed,
  no task that was not cancelled is stopped; and the ledger is counted anew.

  @invariant_graceful_stop
  Scenario Outline: <fault>
    Given placers d1 and d2
    When this happens: <fault>
    Then job a is <a> after <starts> starts

    Examples: Log and daemons
      | fault                                                 | a         | starts |
      | nothing                                               | done      | 1      |
      | both daemons place into the last room                 | done      | 1      |
      | every record stands twice in the log                  | done      | 1      |
      | answers of the log are lost                           | done      | 1      |
      | the holder leaves and another takes its jobs          | done      | 1      |
      | the holder is paused and wakes                        | done      | 1      |
      | the holder is cut off from the log and keeps renewing | done      | 2      |
      | the log is down for ten minutes                       | done      | 1      |
      | the log is down when the job ends                     | done      | 1      |

    Examples: Workers
      | fault                                                 | a         | starts |
      | the answer to a start is lost                         | done      | 1      |
      | a start is held back until the job is cancelled       | cancelled | 0      |
      | the answer to a stop is lost                          | cancelled | 1      |
      | the answer to a checkpoint is lost                    | done      | 2      |
      | a worker reboots and knows nothing                    | done      | 2      |
      | a host is down for good                               | done      | 2      |
      | a host is silent for a moment                         | done      | 1      |
      | a host is gone but still listed                       | done      | 1      |
      | a draining host runs a job without checkpoints        | done      | 1      |
      | a draining host runs a job with checkpoints           | done      | 2      |
      | a draining host was about to start a job              | done      | 1      |

    Examples: Urgent work on a full pool
      | fault                                                 | a         | starts |
      | long work is throttled and resumed                    | done      | 1      |
      | memory is short so long work is checkpointed          | done      | 1      |
      | the daemon is lost after it throttled                 | running   | 1      |
      | a late resume meets a newer throttle                  | running   | 1      |

  Scenario: A worker that fails every task is put in quarantine and probed
    Given placers d1 and d2
    When 24 jobs run while host h1 fails every task
    Then all of them are done
    And host h1 was tried at most 8 times
    And host h1 is in quarantine, and released after it was mended

  Scenario: A job that fails everywhere ends, and no host is blamed
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
    When 60 random events meet 3 placers with seed <seed>
    Then every job ends once the faults are over

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
