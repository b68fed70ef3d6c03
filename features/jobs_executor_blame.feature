@jobs
Feature: Executors are judged by what they do worse than others

  A run may fail, or make no progress, by the fault of its job. An executor is
  suspended for what it does worse than others with the same work, and a pool
  never suspends itself.

  # One hopeless job had all executors of its pool suspended for 8 s, so that all
  # others stood beside them.
  Scenario Outline: Sound jobs go on beside <hopeless> hopeless jobs of <steps> x <tasks> tasks, on <hosts> hosts, seed <seed>
    Given a pool of <hosts> hosts, with seed <seed>
    When sound jobs arrive steadily, and <hopeless> jobs of <steps> x <tasks> tasks that fail at once, <gap_s> s apart
    Then each sound job is completed, and none had nothing running for 3 s
    And at most a quarter of the hosts, or one, was suspended at a time
    And each hopeless job has failed

    Examples:
      | seed | hosts | hopeless | steps | tasks | gap_s |
      | 1041 | 6     | 1        | 2     | 15    | 0     |
      | 1042 | 6     | 5        | 2     | 15    | 0     |
      | 1043 | 6     | 8        | 1     | 2     | 0.5   |
      | 1044 | 2     | 3        | 1     | 12    | 1     |
      | 1045 | 1     | 2        | 1     | 6     | 1     |
      | 1046 | 14    | 6        | 4     | 24    | 1     |
      | 1047 | 14    | 20       | 1     | 1     | 0.2   |

  # The contrary: up to 0.15 of a service's executors may fail all they start.
  Scenario Outline: Executors that fail all they start are left alone within a few runs, seed <seed>
    Given a pool of 14 hosts, with seed <seed>
    When 2 executors fail all that they start for 6.5 s, and 40 jobs of 6 tasks arrive
    Then each sound job is completed, and none had nothing running for 3 s
    And at most <failed> runs have failed

    Examples:
      | seed | failed |
      | 1051 | 12     |
      | 1052 | 12     |
      | 1053 | 12     |
      | 1054 | 12     |

  Scenario Outline: The same holds beside hopeless jobs, seed <seed>
    Given a pool of 14 hosts, with seed <seed>
    When 2 executors fail all that they start for 6.5 s, and 40 jobs of 6 tasks arrive, 5 of them hopeless
    Then each sound job is completed, and none had nothing running for 3 s

    Examples:
      | seed |
      | 1061 |
      | 1062 |
      | 1063 |

  # Jobs that take far longer than they declare had all executors suspended.
  Scenario Outline: Sound jobs go on beside jobs that take <factor> times as long as they declare, seed <seed>
    Given a pool of <hosts> hosts, with seed <seed>
    When sound jobs arrive steadily, and a job of <tasks> tasks that takes <factor> times as long as it declares
    Then each sound job is completed, and none had nothing running for 3 s
    And at most a quarter of the hosts, or one, was suspended at a time

    Examples:
      | seed | hosts | tasks | factor |
      | 1071 | 6     | 36    | 20     |
      | 1072 | 6     | 36    | 60     |
      | 1073 | 14    | 60    | 40     |
      | 1074 | 2     | 12    | 40     |

  # Its runs were stopped for want of progress, wherever they ran.
  Scenario: A job that takes far longer than it declares ends, with seed 1081
    Given a pool of 6 hosts, with seed 1081
    When a job of 4 tasks arrives that takes 300 times as long as it declares
    Then it is completed within 180 s

  Scenario: The log tells which failures led to the suspension of an executor
    Given a pool of 14 hosts, with seed 1091
    When 2 executors fail all that they start for 6.5 s, and 40 jobs of 6 tasks arrive
    Then each suspension is logged with the runs of each job that failed there

  Scenario: The log tells that executors are cleared of the failures of a hopeless job
    Given a pool of 6 hosts, with seed 1092
    When sound jobs arrive steadily, and 1 jobs of 2 x 15 tasks that fail at once, 0 s apart
    Then each executor that was suspended is cleared within 0.2 s

  # Its runs may still end after a job was cancelled, and forgotten.
  Scenario: Failures of a cancelled job are held against no executor
    Given executors "x0, x1", of which "x0, x1" have failed a run of a cancelled job each
    Then no failure is held against "x0" or "x1"

  # A retry found another executor that had failed all it started, until its job
  # had no attempt left.
  Scenario Outline: A retry avoids executors on which runs have failed lately: <kind>
    Given executors "x0, x1, x2, x3", of which "x0, x1" have failed a run each
    When <kind> of which a run has failed on "x0" is started again
    Then it starts on "x2" or "x3"

    Examples:
      | kind              |
      | a task            |
      | a gang of 2 tasks |
