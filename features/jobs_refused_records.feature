@jobs
Feature: What the store will never take costs no more than it is about

  A refusal that concerns a record isn't a store that is away: the same record
  is refused each time, also when a successor builds it again.

  # After a crash the owner repeated a record of long checkpoints that the store
  # refuses, and scheduled nothing any more.
  Scenario Outline: Long checkpoints of tasks whose executor crashes keep nothing waiting: <text>, <tasks> tasks, <option>
    Given simulated daemons with seed <seed>, <option>, and a store that takes records of up to 262144 bytes
    When a job of <tasks> tasks starts, whose checkpoints are <chars> characters of <text>
    And all its executors crash
    And 4 jobs arrive, one a second
    And 10 seconds pass
    Then these jobs are completed
    When the owner is killed
    And 30 seconds pass
    Then the job with checkpoints is completed
    And the store has refused nothing
    And no invariant was violated

    Examples:
      | seed | text               | chars | tasks | option               |
      | 1001 | Kazakh             | 480   | 120   | spare partitions     |
      | 1002 | Kazakh             | 480   | 120   | one partition        |
      | 1003 | control characters | 500   | 120   | spare partitions     |
      | 1004 | emoji              | 500   | 300   | spare partitions     |
      | 1005 | emoji              | 500   | 300   | whole progress       |
      | 1006 | single surrogates  | 500   | 120   | one partition        |

  Scenario Outline: A record of progress is no larger than the store takes: <text>
    Given a job of 250 checkpointing tasks, whose checkpoints are 1 to 2000 characters of <text>
    When its progress is stored in records of up to 200000 bytes
    Then none is larger, and each tells all that it told but for checkpoints
    And no smaller checkpoint is left out than any that is kept

    Examples:
      | text               |
      | ASCII              |
      | quotes             |
      | control characters |
      | Kazakh             |
      | kanji              |
      | emoji              |
      | single surrogates  |

  # One job's record must not hold up another job's.
  Scenario Outline: A job whose progress the store refuses is given up, and keeps no other waiting: <option>
    Given simulated daemons with seed <seed>, <option>, and a store that takes records of up to 262144 bytes
    And a store that refuses the progress of job "odd"
    When 6 jobs and "odd" arrive at once
    And 4 seconds pass
    Then these jobs are completed
    And job "odd" is reported as failed by every daemon
    And job "odd" has run nothing
    And it was logged once that its record was refused, and counted
    When the owner is killed
    And 12 seconds pass
    Then job "odd" is reported as failed by every daemon
    And no invariant was violated

    Examples:
      | seed | option           |
      | 1011 | spare partitions |
      | 1012 | one partition    |

  # A successor that is told of the job again builds the same record.
  Scenario: A job is given up at most once it runs, and ends that its record held are remembered
    Given simulated daemons with seed 1013, spare partitions, and a store that takes records of up to 262144 bytes
    When 6 jobs and "odd" arrive at once
    And 0.4 seconds pass
    And the store begins to refuse the progress of job "odd"
    And 1 second passes
    And the owner is killed
    And 12 seconds pass
    Then these jobs are completed
    And no task of "odd" has started again
    And no invariant was violated

  Scenario Outline: Hosts aren't ordered while the store refuses the record of the orders: <option>
    Given simulated daemons with seed <seed>, <option>, and a store that takes records of up to 262144 bytes
    And a store that refuses the record of host orders
    When a wide job arrives in pool "web"
    And 20 seconds pass
    Then no host was ordered
    And every job is reported as completed
    And no invariant was violated

    Examples:
      | seed | option           |
      | 1021 | spare partitions |
      | 1022 | one partition    |

  Scenario Outline: One refused record in a batch keeps no others from being stored: <case>
    Given a writer of an owner's records, to a store that refuses <refused> of 40
    When the records are appended together, and 3 others after them
    Then all but the refused ones are stored, in order
    And the refused ones are returned, each counted and logged once
    And the writer has made at most <appends> appends

    Examples:
      | case                | refused | appends |
      | the first           | 1       | 16      |
      | some in the middle  | 3       | 40      |
      | one that is too large for any | none, but one too large | 2 |

  Scenario: A submission that the store refuses is told as not run, and never runs
    Given simulated daemons with seed 1031
    And a store that refuses the submission of job "odd"
    When 6 jobs and "odd" arrive at once
    Then the caller of "odd" was told too_large
    When 4 seconds pass
    Then these jobs are completed
    And job "odd" has run nothing

  Scenario: A report on a wave that the store refuses isn't sent again and again
    Given a reporter of waves, to a store that refuses its reports
    When a wave is reported as running and as completed
    Then each report was sent and logged once
