@jobs
Feature: Keys and quotas of workspaces hold through failures

  Scenario Outline: A key is checked by a configuration of known age: <case>
    Given workspace "vltava" with the key "<held>"
    When the key "<sent>" is checked <age> seconds after the configuration was confirmed
    Then the key is <verdict>

    Examples:
      | case                       | held | sent | age | verdict   |
      | held                       | k1   | k1   | 0.5 | valid     |
      | held, read some time ago   | k1   | k1   | 4.4 | valid     |
      | held, but maybe withdrawn  | k1   | k1   | 4.6 | uncertain |
      | never read                 | k1   | k1   | inf | uncertain |
      | not held                   | k1   | k2   | 0.5 | unknown   |
      | maybe added meanwhile      | k1   | k2   | 2.6 | uncertain |
      | none sent                  | k1   |      | 0.5 | unknown   |
      | suspended since            | k1   | k1   | 60  | uncertain |

  Scenario Outline: Workspaces are checked as a whole: <problem>
    When workspaces are declared: <workspaces>
    Then they are invalid because of "<problem>"

    Examples:
      | workspaces                | problem                     |
      | , a:k1                    | no name                     |
      | a:k1, a:k2                | declared twice              |
      | a:k1, b:k1                | belongs to two workspaces   |
      | a:k1:-1                   | the weight of 'a'           |
      | a:k1:nan                  | the weight of 'a'           |
      | a:k1:1:-5                 | less than nothing           |

  Scenario: A queue of a workspace needs a key, and shows nothing to others
    Given simulated daemons with seed 201, and queue "web" for workspaces "vltava" and "brno"
    When "vltava" submits job "a" to daemon 0
    Then it was accepted
    When 3 seconds pass
    Then "vltava" sees job "a" as completed at every daemon
    And "brno" sees job "a" as unknown at every daemon
    And "brno" can't cancel job "a"
    When "brno" submits job "a" to daemon 1
    Then it was refused as job_conflict
    When a caller without a key submits job "b" to daemon 1
    Then it was refused as unknown_key

  Scenario Outline: Neither logs nor metrics nor answers hold a key: <case>
    Given simulated daemons with seed 209, and queue "web" for workspaces "vltava" and "brno"
    When a request <request> by HTTP, with the key of "vltava"
    Then it is answered with <status>, and the log has <event>
    And no log line, metric or answer holds a key

    Examples:
      | case             | request                        | status | event           |
      | accepted         | submits a job                  | 200    | job_accepted    |
      | cancelled        | cancels a job                  | 410    | job_cancelled   |
      | withdrawn        | submits a job after withdrawal | 401    | request_refused |
      | unreadable job   | submits what is no job         | 400    | request_refused |
      | unreadable configuration | submits a job after an unreadable configuration with its key | 200 | configuration_rejected |

  Scenario: A withdrawn key isn't used by a daemon that is cut off from the store
    Given simulated daemons with seed 202, and queue "web" for workspaces "vltava" and "brno"
    When "vltava" submits job "a" to daemon 1
    And daemon 1 is cut off from the store
    And the keys of "vltava" are withdrawn
    And 4.6 seconds pass
    Then "vltava" is told not_ready about job "a" by daemon 1
    And "vltava" is told unknown_key about job "a" by daemon 0

  Scenario: A key that was withdrawn while the daemon was suspended isn't used
    Given simulated daemons with seed 203, and queue "web" for workspaces "vltava" and "brno"
    When daemon 1 is suspended for 8 seconds between the check of a submission by "vltava" and its append
    Then it was refused as not_ready
    And nothing of it is stored

  Scenario: A key withdrawn between the check and the append isn't used
    Given simulated daemons with seed 204, and queue "web" for workspaces "vltava" and "brno"
    When daemon 1 reads that the keys of "vltava" are withdrawn between the check of a submission and its append
    Then it was refused as unknown_key
    And nothing of it is stored

  Scenario Outline: A withdrawn key isn't back after <event>
    Given simulated daemons with seed 205, and queue "web" for workspaces "vltava" and "brno"
    When the keys of "vltava" are withdrawn
    And 1 second passes
    And <event>
    And 2 seconds pass
    And "vltava" submits job "a" to daemon 1
    Then it was refused as unknown_key

    Examples:
      | event                                         |
      | daemon 1 restarts                             |
      | every daemon is killed                        |
      | the older configuration is written again      |
      | the configuration is deleted                  |
      | the operators' history is dropped, and daemon 1 restarts |

  Scenario: A daemon that starts uses no key before it has read the configuration
    Given simulated daemons with seed 206, and queue "web" for workspaces "vltava" and "brno"
    When daemon 1 restarts without reaching the store
    And 0.5 seconds pass
    Then daemon 1 isn't ready, and refuses "vltava" as not_ready

  Scenario: A key added and withdrawn in quick succession follows the newest configuration
    Given simulated daemons with seed 207, and queue "web" for workspaces "vltava" and "brno"
    When the keys of "vltava" are withdrawn and added 10 times, 0.05 seconds apart
    And 1 second passes
    And "vltava" submits job "a" to daemon 1
    Then it was accepted

  Scenario: Jobs go on when their workspace loses its keys, or its key moves
    Given simulated daemons with seed 208, and queue "web" for workspaces "vltava" and "brno"
    When "vltava" submits job "a" to daemon 0
    And the key of "vltava" moves to "brno"
    And 3 seconds pass
    Then the caller with the key of "vltava" sees job "a" as unknown at every daemon
    And job "a" is stored as completed

  Scenario: A workspace keeps its quota, and holds up no other
    Given a scheduler with workspaces "vltava" of 3 cores and "brno" without a limit
    When "vltava" submits 8 tasks of 1 core
    And "brno" submits 4 tasks of 1 core
    Then 3 tasks of "vltava" start, and 4 of "brno"
    When a task of "vltava" ends
    Then 1 task of "vltava" starts, and 0 of "brno"

  Scenario: A run counts until it has certainly ended
    Given a scheduler with workspaces "vltava" of 3 cores and "brno" without a limit
    When "vltava" submits 8 tasks of 1 core
    Then 3 tasks of "vltava" start, and 0 of "brno"
    When the job of "vltava" is cancelled, and another of 3 tasks arrives
    Then 0 tasks of "vltava" start, and 0 of "brno"
    When the cancelled runs have ended
    Then 3 tasks of "vltava" start, and 0 of "brno"

  Scenario: A new owner counts what its predecessor started
    Given a scheduler with workspaces "vltava" of 3 cores and "brno" without a limit
    And a predecessor that started 2 tasks of "vltava" on an executor out of reach
    When "vltava" submits 8 tasks of 1 core
    Then 1 task of "vltava" starts, and 0 of "brno"

  Scenario: A lowered quota stops nothing, and starts nothing until it fits
    Given a scheduler with workspaces "vltava" of 6 cores and "brno" without a limit
    When "vltava" submits 8 tasks of 1 core
    Then 6 tasks of "vltava" start, and 0 of "brno"
    When the quota of "vltava" becomes 2 cores
    And a task of "vltava" ends
    Then 0 tasks of "vltava" start, and nothing is stopped
    When the quota of "vltava" becomes 7 cores
    Then 2 tasks of "vltava" start, and 0 of "brno"

  Scenario: A task that was accepted under a larger quota runs alone
    Given a scheduler with workspaces "vltava" of 3 cores and "brno" without a limit
    When the quota of "vltava" becomes 0.5 cores
    And "vltava" submits 2 tasks of 1 core
    Then 1 task of "vltava" starts, and 0 of "brno"

  Scenario: A wide task isn't kept out by small ones of its workspace
    Given a scheduler with workspaces "vltava" of 4 cores and "brno" without a limit
    When "vltava" submits 4 tasks of 1 core
    Then 4 tasks of "vltava" start, and 0 of "brno"
    When "vltava" submits 1 urgent task of 3 cores
    And "vltava" submits 8 tasks of 1 core
    And 2 tasks of "vltava" end
    Then 0 tasks of "vltava" start, and 0 of "brno"
    When 1 task of "vltava" ends
    Then 1 task of "vltava" starts, and 0 of "brno"

  Scenario Outline: A job that can never run under its quota is told so: <step>
    When a step of <step> is checked against a quota of 4 cores
    Then the step <fits>

    Examples:
      | step                 | fits       |
      | 8 tasks of 4 cores   | fits       |
      | 1 task of 5 cores    | never fits |
      | a gang of 4 x 1 core | fits       |
      | a gang of 5 x 1 core | never fits |

  Scenario: The steps of a workspace at its quota cost a scheduling cycle nothing
    Given a scheduler with workspaces "vltava" of 3 cores and "brno" without a limit
    When "vltava" submits 300 jobs of 2 tasks of 1 core
    And all that may start has started
    And "brno" submits 4 tasks of 1 core
    Then a scheduling cycle ranks 1 step

  @search
  Scenario: Random faults exceed no quota and lose no job
    When simulations with random faults and quotas of seeds 400 to 411 run
    Then no simulation violated an invariant or left a job unfinished
