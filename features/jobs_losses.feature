@jobs
Feature: What the logs tell of late jobs and of what hosts were used for

  A job of one task with an objective of 2 s is accepted at second 100 by the
  daemon "a", which owns the jobs; "b" is another daemon.

  Scenario Outline: A late job is attributed to what held it up: <cause>
    Given log lines of the job
      | time | daemon | event          | fields                                                                    |
      | 99.5 | a      | pool_load      | {"pool": "web", "hosts": 2, "arriving_hosts": <arriving>}                 |
      | 99.5 | a      | pool_load      | {"pool": "spare", "hosts": <standby>, "arriving_hosts": 0, "is_standby": true} |
      | 100  | a      | job_accepted   | {"job": "j", "pool": "web", "objective_s": 2.0, "work_core_s": 3.0}       |
    And log lines "<story>"
    Then <share> of the jobs are late, by "<cause>" alone

    Examples:
      | cause                                   | arriving | standby | story                                                              | share |
      | hosts on their way                      | 3        | 0       | start 104; end 105 done; told 105                                  | 1.0   |
      | other work first, no further host asked for | 0    | 4       | start 104; end 105 done; told 105                                  | 1.0   |
      | no room, and no host left on standby    | 0        | 0       | start 104; end 105 done; told 105                                  | 1.0   |
      | no owner                                | 0        | 0       | owner b 104; start 104; end 105 done; told 105                     | 1.0   |
      | starts halted                           | 0        | 0       | halted 100; resumed 104; start 104; end 105 done; told 105         | 1.0   |
      | starts halted                           | 0        | 0       | acts 100; lost 104; owner b 104; start 104; end 105 done; told 105 | 1.0   |
      | no owner                                | 0        | 0       | acts 100; lost 100; owner b 104; start 104; end 105 done; told 105 | 1.0   |
      | run lost with its executor              | 0        | 0       | start 100; end 103 lost; start 103; end 104 done; told 104         | 1.0   |
      | failed run                              | 0        | 0       | start 100; end 103 failed; start 103; end 104 done; told 104       | 1.0   |
      | run stopped, lapsed or broken           | 0        | 0       | start 100; end 103 lapsed; start 103; end 104 done; told 104       | 1.0   |
      | end not noticed or told yet             | 0        | 0       | start 100; end 101 done; told 104                                  | 1.0   |
      | start waited for store or executor      | 0        | 0       | start 103 planned 100; end 104 done; told 104                      | 1.0   |
      | shown as failed                         | 0        | 0       | start 100; end 101 failed; failed 101                              | 1.0   |
      | refused at first                        | 0        | 0       | refused 97; start 100; end 101 done; told 101                      | 1.0   |

  Scenario: A job in time isn't counted as late
    Given log lines of the job
      | time | daemon | event        | fields                                                              |
      | 100  | a      | job_accepted | {"job": "j", "pool": "web", "objective_s": 2.0, "work_core_s": 3.0} |
    And log lines "start 100; end 101 done; told 101"
    Then none of the jobs are late

  Scenario: A job that was refused each time is counted
    Given log lines "refused 97; refused 98"
    Then 1.0 of the jobs are late, by "refused, and never accepted" alone

  Scenario: A slow executor is found by the other runs of the step
    Given log lines of the job
      | time | daemon | event        | fields                                                              |
      | 100  | a      | job_accepted | {"job": "j", "pool": "web", "objective_s": 2.0, "work_core_s": 3.0} |
    And runs of the step that took 1, 1, 1 and 4 seconds
    Then 1.0 of the jobs are late, by "slow executor" alone

  Scenario: Host-seconds are divided by what the host was used for
    Given log lines of the job
      | time | daemon | event          | fields                                                                         |
      | 90   | a      | pool_load      | {"pool": "spare", "hosts": 4, "arriving_hosts": 0, "is_standby": true}         |
      | 91   | a      | job_accepted   | {"job": "l", "pool": "web", "is_lasting": true}                                |
      | 92   | a      | job_accepted   | {"job": "j", "pool": "web", "objective_s": 9.0, "work_core_s": 3.0}            |
      | 100  | a      | host_moved     | {"host": "h", "from_pool": "spare", "to_pool": "web", "outcome": "done"}       |
      | 102  | a      | executor_found | {"host": "h", "pool": "web", "executor": "x"}                                  |
      | 103  | a      | run_started    | {"task": "j.0.0.0", "run": 1, "executor": "x"}                                 |
      | 105  | a      | run_started    | {"task": "l.0.0.0", "run": 1, "executor": "x"}                                 |
      | 106  | a      | run_over       | {"task": "j.0.0.0", "run": 1, "executor": "x", "cause": "done"}                |
      | 110  | a      | run_over       | {"task": "l.0.0.0", "run": 1, "executor": "x", "cause": "stopped"}             |
      | 112  | a      | host_moved     | {"host": "h", "from_pool": "web", "to_pool": "spare", "outcome": "done"}       |
    Then the host-seconds are
      | use                            | seconds |
      | on its way, or in maintenance  | 2       |
      | idle before its first run      | 1       |
      | runs that end by themselves    | 3       |
      | long-running tasks only        | 4       |
      | idle after its last run        | 2       |
    And the moves are 1 "from standby" and 1 "to standby"

  Scenario: The command reads log files and counts what it can't read
    Given a log file with 2 lines of a job in time and 3 that are malformed
    When the losses are shown
    Then a row tells that 3 lines were "not readable"
