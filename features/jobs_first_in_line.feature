@jobs
Feature: An entry that can't be served keeps none behind it waiting

  Whatever is served in some order may hold an entry that is never done. Those
  behind it have to be served all the same.

  Scenario Outline: Deletions that the store refuses keep no others from being deleted: <refused>
    Given jobs "a", "b" and "c" whose records are to be deleted, <records> each
    When the store refuses <refused>
    And 8 seconds of deletions pass
    Then the records of <deleted> are deleted

    Examples:
      | records | refused                        | deleted     |
      | 10      | the records of "a"             | "b", "c"    |
      | 2500    | appends of over 2000 records   | "a", "b", "c" |
      | 1500    | the records of "a"             | "b", "c"    |

  Scenario: A host that can't be emptied keeps no other one from being tried
    Given a pool with 3 hosts that long-running tasks keep
    When the host that is tried first could not be emptied
    Then another one is tried before it
    When each of them could not be emptied
    Then one of them is tried

  Scenario: A wave without any time keeps no other wave waiting
    Given a wave of 4 hosts in 0 seconds, 2 at once
    And 1 have started, 0 are down, and 0 seconds have passed
    And 0 due hosts are idle and 3 have 3 tasks each
    When the wave is planned
    Then 0 hosts are taken down and 2 are drained

  Scenario: A wave that fails keeps no other wave waiting
    Given simulated daemons with seed 962
    When a wave that can't be planned is requested
    And a wave over its pool is requested after it
    And 20 seconds pass
    Then the second wave is completed, and the first one is logged as failed

  Scenario Outline: A host whose tasks can't leave it keeps no other one of its wave waiting: <state>
    Given a wave of 4 hosts in 10 seconds, 1 at once
    And 0 have started, 0 are down, and 9 seconds have passed
    And one due host has been draining <state>, and 3 others have tasks
    When the wave is planned
    Then 0 hosts are taken down and <drained> are drained

    Examples:
      | state          | drained |
      | for long       | 1       |
      | for a moment   | 0       |

  Scenario: A gang beyond a lowered quota keeps no others of its workspace waiting
    Given a scheduler with workspaces "vltava" of 6 cores and "brno" without a limit
    When "vltava" submits a long-running task of 1 core
    And all that may start has started
    And "vltava" submits a gang of 5 tasks of 1 core
    And the quota of "vltava" becomes 4 cores
    And "vltava" submits 2 tasks of 1 core
    Then 2 tasks of "vltava" start, and 0 of "brno"
    When the long-running task has ended
    And a task of "vltava" ends
    Then 0 tasks of "vltava" start, and 0 of "brno"
    When "vltava" submits 1 tasks of 1 core
    And a task of "vltava" ends
    Then 5 tasks of "vltava" start, and 0 of "brno"

  Scenario: A gang beyond what long-running tasks leave of a quota keeps no others of its workspace waiting
    Given a scheduler with workspaces "vltava" of 6 cores and "brno" without a limit
    When "vltava" submits a long-running task of 2 core
    And "vltava" submits a long-running task of 1 core
    And all that may start has started
    And "vltava" submits a gang of 5 tasks of 1 core
    And "vltava" submits 2 tasks of 1 core
    Then 2 tasks of "vltava" start, and 0 of "brno"
    When 2 tasks of "vltava" that end by themselves end
    And a long-running task of 2 cores has ended
    Then 5 tasks of "vltava" start, and 0 of "brno"

  Scenario: A workspace's jobs go on once the one first in line for its quota is cancelled
    Given a scheduler with workspaces "vltava" of 6 cores and "brno" without a limit
    When "vltava" submits 2 tasks of 1 core
    And all that may start has started
    And "vltava" submits a gang of 5 tasks of 1 core
    And "vltava" submits 3 tasks of 1 core
    Then 0 tasks of "vltava" start, and 0 of "brno"
    When the gang of "vltava" is cancelled
    Then 3 tasks of "vltava" start, and 0 of "brno"

  Scenario: A record that the store refuses keeps no other one from being stored
    When 5 records are appended at once, and the store refuses appends with the third
    Then the other 4 are stored, and the third one is not

  Scenario: A job that the store could not take is refused at once
    Given simulated daemons with seed 961
    When a job of 300000 bytes is submitted
    Then it is refused as too_large, and names 262144
    And no record of it is stored

  Scenario Outline: A checkpoint that is too long to be stored is not used: <chars> characters
    When an executor lists a run and an end with a checkpoint of <chars> characters
    Then the checkpoint that is read has <read> characters

    Examples:
      | chars | read |
      | 500   | 500  |
      | 501   | 0    |
