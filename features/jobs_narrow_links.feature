@jobs
Feature: Daemons behind narrow links load, follow and own a busy partition

  Links carry a limited number of bytes in each second, as those of small
  entry hosts do. Everything runs in virtual time.

  Scenario: A daemon behind a narrow link loads a long history
    Given a partition of 2000 keys of 3000 bytes
    When it is followed over a link of 600000 bytes a second
    Then it has been loaded within 20 seconds

  Scenario: A daemon behind a narrow link loads long records
    Given a partition of 10 keys of 250000 bytes
    When it is followed over a link of 600000 bytes a second
    Then it has been loaded within 8 seconds

  Scenario Outline: A load goes on where it was when <trouble> again and again
    Given a partition of 2000 keys of 3000 bytes
    When it is followed over a link of 600000 bytes a second
    And <trouble> for 1.5 of every 5 seconds
    And 3 seconds of following pass
    And 50 records of 3000 bytes are appended at once
    And the first 50 and the last 50 keys are deleted
    Then the end has been read within 35 seconds
    And the reader holds the newest record of each key

    Examples:
      | trouble                |
      | the link is down       |
      | the store is down      |

  Scenario: A load that is asked for during another begins at the first key
    Given a partition of 2000 keys of 3000 bytes
    When it is followed over a link of 600000 bytes a second
    And 5 seconds of following pass
    And what was read is discarded for a reload
    Then the end has been read within 20 seconds
    And the reader holds the newest record of each key

  Scenario: A load that is asked for during a read that fails is carried out
    Given a partition of 2000 keys of 3000 bytes
    When it is followed over a link of 600000 bytes a second
    And 20 seconds of following pass
    And the link is down for 1.5 of every 5 seconds
    And 4 seconds of following pass
    And what was read is discarded for a reload
    Then the end has been read within 40 seconds
    And the reader holds the newest record of each key

  Scenario: Loads that are slower than the log's retention are logged
    Given a partition of 2000 keys of 3000 bytes
    When it is followed over a link of 600000 bytes a second
    And the log drops what is older than 8 seconds, for 60 seconds
    Then 3 loads were logged as failed, since records had been dropped
    And the end has been read within 30 seconds
    And the reader holds the newest record of each key

  Scenario: A daemon behind a narrow link catches up after an outage
    Given a partition of 10 keys of 3000 bytes
    When it is followed over a link of 600000 bytes a second
    And 2 seconds of following pass
    And 2000 records of 3000 bytes are appended at once
    Then the end has been read within 12 seconds

  Scenario: Records arrive all the time while a daemon catches up
    Given a partition of 10 keys of 3000 bytes
    When it is followed over a link of 600000 bytes a second
    And reads that return records are followed by a pause of 0.15 seconds
    And 2 seconds of following pass
    And 2000 records of 3000 bytes are appended at once
    Then the end has been read within 12 seconds
    And records have arrived at most 0.6 seconds apart

  Scenario: Silence after long pages is noticed as soon as before them
    Given a partition of 1000 keys of 3000 bytes
    When it is followed over a link of 600000 bytes a second
    And 2 seconds of following pass
    And 1000 records of 3000 bytes are appended at once
    Then the end has been read within 20 seconds
    When the link goes down
    Then the store is reported as lost within 0.7 seconds

  Scenario: A long list of hosts arrives over a narrow link
    Given a host service that lists 3000 hosts on one page
    When the hosts are listed over a link of 600000 bytes a second
    Then 3000 hosts are known

  Scenario: Callers of a daemon behind a narrow link soon see that jobs ended
    Given simulated daemons with seed 510
    And a daemon without ownership behind a link of 60000 bytes a second
    When 100 jobs of 8 and 4 tasks with 2400 bytes of payload arrive in 5 seconds
    And 15 seconds pass
    Then 95 of 100 were reported there within 1 second after the owner did

  Scenario: A daemon that catches up over a narrow link accepts jobs
    Given simulated daemons with seed 513
    And a daemon without ownership behind a link of 600000 bytes a second
    When statuses of 2000 jobs with 3000 bytes each are stored in 3 seconds
    Then it accepts 10 jobs within 3 seconds though it is 1.2 seconds behind

  Scenario: An owner behind a narrow link gets answers to its starts
    Given simulated daemons with seed 511
    And every daemon behind a link of 200000 bytes a second
    When 60 jobs of 16 tasks with 4000 bytes of payload arrive in 5 seconds
    And 25 seconds pass
    Then 9 of 10 starts were answered
    And 600 tasks have ended
    And no invariant was violated

  Scenario: An owner behind a narrow link doesn't lose sight of executors
    Given simulated daemons with seed 512
    And every daemon behind a link of 200000 bytes a second
    When 60 jobs of 16 tasks with 4000 bytes of payload arrive in 5 seconds
    And 25 seconds pass
    Then no executor was taken for unreachable
    And no run has lapsed
    And half of the starts were answered within half of the timeout

  Scenario: An owner behind a narrow link gets answers to its stops
    Given simulated daemons with seed 513
    When 8 long jobs of 16 tasks run in all pools
    And every daemon gets a link of 80000 bytes a second
    And these jobs are cancelled at once
    And 5 seconds pass
    Then 9 of 10 stops were answered
    And 128 runs were stopped

  # The bound is half of the constant part of a job's objective.
  Scenario: A silent executor doesn't delay starts on others
    Given simulated daemons with seed 514
    When job "a" of 4 long-running tasks, 4 unavailable at most, starts
    And 1 long job of 1 task runs in pool ci
    And the first executor in pool ci with runs becomes silent
    And 1 long job of 40 tasks arrives in pool ci
    And 20 long jobs of 1 task arrive in pool web
    And 2 seconds pass
    Then each task in pool web was started within 0.3 seconds

  Scenario: A silent executor doesn't delay stops on others
    Given simulated daemons with seed 515
    When 1 long job of 256 small tasks runs in pool web
    And the first executor in pool web with runs becomes silent
    And these jobs are cancelled at once
    And 2 seconds pass
    Then 192 runs were stopped within 0.3 seconds

  Scenario: An owner behind a wide link starts as fast as without a limit
    Given the time that an owner without a limit takes for 1000 starts
    When an owner with a limit gets answers to 1000 starts
    Then it takes at most 0.2 seconds longer

  Scenario: An owner uses all that a link carries when it is wide again
    Given simulated daemons with seed 516
    And links that take 0.02 seconds each way
    And every daemon behind a link of 200000 bytes a second
    When 60 jobs of 16 tasks with 4000 bytes of payload arrive in 5 seconds
    And every daemon gets a link of 12500000 bytes a second
    And 5 seconds pass
    Then 960 tasks have ended
