@jobs
Feature: What can't be served is refused at once, and never runs

  Scenario Outline: A job is refused if it would have lost its value by its end: <case>
    Given a pool with <hosts> hosts, <arriving> on their way and <standby> on standby
    And pending work of <backlog> host-seconds, and <late> that gives way
    When a job of 1 second arrives, <share> the share of its workspace
    Then the job is <decision>

    Examples:
      | case                     | hosts | arriving | standby | backlog | late | share  | decision |
      | nothing waits            | 10    | 0        | 0       | 0       | 0    | within | admitted |
      | a short wait             | 10    | 0        | 0       | 40      | 0    | within | admitted |
      | too long                 | 10    | 0        | 0       | 70      | 0    | within | refused  |
      | hosts are on their way   | 10    | 10       | 0       | 70      | 0    | within | admitted |
      | hosts are on standby     | 10    | 0        | 10      | 70      | 0    | within | admitted |
      | only late work waits     | 10    | 0        | 0       | 0       | 90   | within | admitted |
      | late work, beyond share  | 10    | 0        | 0       | 0       | 90   | beyond | refused  |
      | nothing waits, beyond    | 10    | 0        | 0       | 0       | 0    | beyond | admitted |

  Scenario Outline: A job is refused if it would wait too long beside room for a start: <wait> s
    Given a report that <pool> and that jobs wait <wait> s for a start
    When <kind> arrives
    Then the job is <decision>

    Examples:
      | wait | pool                   | kind                | decision |
      | 0.0  | no pool is overloaded  | a job of 1 second   | admitted |
      | 0.9  | no pool is overloaded  | a job of 1 second   | admitted |
      | 1.2  | no pool is overloaded  | a job of 1 second   | refused  |
      | 30.0 | no pool is overloaded  | a job of 1 second   | refused  |
      | 30.0 | no pool is overloaded  | a job of 100 seconds | refused |
      | 30.0 | no pool is overloaded  | a long-running job  | admitted |
      | 30.0 | no pool is overloaded  | a scheduled job     | admitted |
      | 0.0  | the pool is overloaded | a job of 1 second   | refused  |

  Scenario: A wait for starts that refuses no job is not published
    Given a report that no pool is overloaded and that jobs wait 0.9 s for a start
    Then the report is the same as without any wait

  Scenario Outline: The wait for a start is told by those that wait, and the rate of late: <case>
    When cycles start <starts> tasks each 0.1 s for <seconds> s, and leave out <waiting>
    Then new jobs wait <wait> s for a start

    Examples:
      | case                         | starts | seconds | waiting | wait |
      | none waits                   | 10     | 2.0     | 0       | 0    |
      | a rate that is just known    | 10     | 0.3     | 200     | 2    |
      | a steady rate                | 10     | 5.0     | 200     | 2    |
      | the rate isn't known yet     | 10     | 0.1     | 200     | 0    |
      | nothing is started any more  | 0      | 2.0     | 200     | 3    |

  Scenario: A wait for starts is over once a cycle leaves out none
    When cycles start 10 tasks each 0.1 s for 2.0 s, and leave out 200
    And a cycle starts all that waits
    Then new jobs wait 0 s for a start

  Scenario: Long-running and scheduled jobs are never refused for a wait
    Given a pool with 10 hosts, 0 on their way and 0 on standby
    And pending work of 900 host-seconds, and 0 that gives way
    When a long-running job arrives
    Then the job is admitted
    When a scheduled job arrives
    Then the job is admitted

  Scenario: Callers that are sent back together don't return together
    Given a pool with 10 hosts, 0 on their way and 0 on standby
    And pending work of 200 host-seconds, and 0 that gives way
    When 100 jobs of 1 second arrive
    Then they are told to return at 3 different seconds or more
    And none before the backlog has room

  Scenario Outline: An owner that is behind is told from one that isn't: <delay>
    When the submissions were last known to be read <delay> seconds ago
    Then a submission is <decision>

    Examples:
      | delay | decision |
      | None  | admitted |
      | 0.3   | admitted |
      | 3.9   | admitted |
      | 4.1   | refused  |

  @invariant_not_run
  Scenario Outline: While the owner can't read submissions, no more are accepted: <when>
    Given 3 simulated daemons with seed 401, whose submissions have 4 partitions
    When <seconds> seconds pass
    And the owner can't read the partitions of the submissions
    And 5 seconds pass
    And job "a" of 2 and 2 tasks is submitted to daemon 1
    Then it was refused as not_ready
    And the daemons don't tell how many jobs wait
    When job "b" of 2 and 2 tasks is submitted to the owner's daemon
    Then it was refused as answer_lost
    When the owner can read all partitions again
    And 2 seconds pass
    And job "a" of 2 and 2 tasks is submitted to daemon 0
    Then it was accepted

    Examples:
      | when          | seconds |
      | from its start | 0      |
      | later         | 1       |

  Scenario: No job is refused for a backlog that hosts on standby can do
    Given 3 simulated daemons with seed 406, whose submissions have 4 partitions
    And all hosts but one of each pool are on standby
    When 12 jobs of 16 tasks are submitted to "web" at once
    And 0.3 seconds pass
    Then no wait for hosts of "web" was published

  @invariant_not_run
  Scenario: A job refused by an overloaded pool never runs
    Given 3 simulated daemons with seed 402, whose submissions have 4 partitions
    When 400 jobs of 16 tasks are submitted to "web" at once
    And 0.4 seconds pass
    And job "late" of 2 and 2 tasks is submitted to daemon 1
    Then it was refused as pool_overloaded
    When 20 seconds pass
    Then no task of "late" has started
    And the load was stored at most 2 times a second, and is told to be over

  Scenario Outline: A malformed report of the load stops no submission: <wait>
    Given 3 simulated daemons with seed 404, whose submissions have 4 partitions
    When a report of a wait of <wait> seconds in pool "web" is stored
    And 1 second passes
    And job "a" of 2 and 2 tasks is submitted to daemon 1
    Then the answer is <answer>

    Examples:
      | wait     | answer          |
      | nan      | None            |
      | -5       | None            |
      | inf      | pool_overloaded |
      | "much"   | None            |

  Scenario: What was told of the load is forgotten with its owner
    Given 3 simulated daemons with seed 403, whose submissions have 4 partitions
    When a report of an overloaded pool "web" is stored
    And 1 second passes
    And job "a" of 2 and 2 tasks is submitted to daemon 1
    Then it was refused as pool_overloaded
    When 3 seconds pass
    And job "a" of 2 and 2 tasks is submitted to daemon 1
    Then it was accepted

  @invariant_not_run
  Scenario: A job that would wait too long for its start never runs
    Given 3 simulated daemons with seed 405, whose submissions have 4 partitions
    When a report of a wait of 6 seconds for starts is stored
    And 1 second passes
    And job "a" of 2 and 2 tasks is submitted to daemon 1
    Then it was refused as not_ready
    When 5 seconds pass
    Then no task of "a" has started
    When job "b" of 2 and 2 tasks is submitted to daemon 1
    Then it was accepted

  Scenario: Daemons of before that know no wait for starts can read the report
    When a report of a wait for starts is read by a daemon that doesn't know it
    Then it finds the waits of the pools
    And a report without it is read as no wait
