@jobs
Feature: Each decision on jobs and hosts, by itself

  Scenario Outline: Hosts go to pools in need: <case>
    Given pools with these loads
      | pool   | hosts | lasting | rate   | backlog_s | starved | idle   |
      | busy   | 4     | 0       | <rate> | <backlog> | 0       | 0      |
      | small  | 1     | 0.5     | 0      | 0         | <small> | 0      |
      | quiet  | 5     | 0.2     | 0      | 0         | 0       | <idle> |
    When moves of hosts are planned
    Then <to_busy> hosts go to "busy", <to_small> to "small" and <off> off

    Examples:
      | case                            | rate | backlog | small | idle | to_busy | to_small | off |
      | nothing needs any               | 2    | 0       | 0     | 3    | 0       | 0        | 3   |
      | one pool needs more than exist  | 9    | 8       | 0     | 3    | 3       | 0        | 0   |
      | a starved task has its turn too | 9    | 8       | 1     | 3    | 2       | 1        | 0   |

  Scenario Outline: A wave is kept in time: <case>
    Given a wave of 10 hosts in 20 seconds, <most> at once
    And <begun> have begun, <down> are down, and <elapsed> seconds have passed
    And <idle> due hosts are idle and <busy> have 3 tasks each
    When the wave is planned
    Then <begin> hosts go down and <empty> are emptied

    Examples:
      | case                      | most | begun | down | elapsed | idle | busy | begin | empty |
      | idle hosts go at once     | 3    | 0     | 0    | 0       | 2    | 8    | 2     | 0     |
      | never more than allowed   | 3    | 2     | 2    | 0       | 4    | 4    | 1     | 0     |
      | none while all slots used | 3    | 3     | 3    | 15      | 2    | 5    | 0     | 0     |
      | behind, busy ones empty   | 3    | 2     | 0    | 10      | 1    | 7    | 1     | 2     |

  Scenario Outline: A lasting task may be ended: <verdict> with <others> at work
    When one of 5 lasting tasks, <gone> away at most, is to end
    Then that is <verdict> while <others> of the others are at work

    Examples:
      | gone | others | verdict |
      | 1    | 4      | allowed |
      | 1    | 3      | denied  |
      | 2    | 3      | allowed |
      | 0    | 4      | denied  |

  Scenario Outline: What fills is paced beside what serves: <case>
    Given a serving task at <tail> of its target beside a filler at <percent>
    When paces are planned <after> seconds after the last change
    Then the filler's pace is <pace>

    Examples:
      | case                          | tail | percent | after | pace |
      | well below its target         | 0.3  | 100     | 5     | 100  |
      | near its target               | 0.9  | 100     | 1     | 50   |
      | over its target               | 1.2  | 50      | 1     | 0    |
      | over, a moment after a change | 1.2  | 100     | 0.2   | 100  |
      | below again for a while       | 0.3  | 40      | 3     | 60   |

  Scenario: A job that can still be in time goes before one that can't
    Given open steps "late" 1 second past its objective and "fresh" in time
    When they are put in order
    Then "fresh" goes before "late"

  Scenario: Declared times are corrected by what was seen
    When 20 tasks of a queue take half of what was declared
    Then its declared times count half

  Scenario: Growth is what is beyond chance
    When 1, 2, 1 and 2 jobs arrive in quarters of a second, for 3 seconds
    Then no growth is expected
    When 10 jobs arrive in each quarter of the next second
    Then growth is expected

  Scenario Outline: A call is sent again after several times the usual: <case>
    Given a callee whose answers took <took> seconds, ten of them
    When one more takes <last> seconds
    Then the next call is sent again after <delay> seconds

    Examples:
      | case                | took  | last  | delay |
      | it is quick         | 0.005 | 0.005 | 0.25  |
      | it is slow          | 0.3   | 0.3   | 1.8   |
      | it has become slow  | 0.005 | 0.3   | 1.8   |
      | no more than that   | 0.005 | 0.9   | 2.0   |

  Scenario Outline: The first answer to a call and its copies counts: <case>
    Given a call whose copies are <copies>
    When it is made, with 1 second at most
    Then it is <outcome>, after <sent> copies and <took> seconds

    Examples:
      | case                      | copies                        | outcome  | sent | took |
      | it is answered            | answered in 0.01              | answered | 1    | 0.01 |
      | its answer is lost        | lost, answered in 0.01        | answered | 2    | 0.26 |
      | the first is only slow    | answered in 0.4, lost         | answered | 2    | 0.4  |
      | it is refused             | refused in 0.01               | refused  | 1    | 0.01 |
      | the connection breaks off | broken in 0.01, answered in 0 | answered | 2    | 0.25 |
      | nothing is heard          | lost, lost, lost              | unknown  | 3    | 1.0  |
      | a copy is turned away     | lost, away in 0.01, lost      | unknown  | 3    | 1.0  |
      | one after a broken one    | broken in 0.01, away in 0.01  | unknown  | 2    | 0.26 |
      | the only one              | away in 0.01                  | away     | 1    | 0.01 |

  Scenario Outline: An owner is succeeded when <case>: <verdict>
    Given a store read <read_ago> seconds ago, readable for <readable> seconds
    And the owner's last sign was <sign_ago> seconds ago
    Then claiming now is <verdict>

    Examples:
      | case                      | read_ago | readable | sign_ago | verdict |
      | it is at work             | 0.1      | 60       | 0.2      | denied  |
      | it fell silent            | 0.1      | 60       | 1.7      | allowed |
      | the store can't be read   | 3.0      | 60       | 5.0      | denied  |
      | the store has just come   | 0.1      | 0.5      | 9.0      | denied  |

  Scenario Outline: A slow store's owner may be silent for longer: <case>
    Given an owner whose records came <gap> seconds apart
    When <event>
    Then it is succeeded after <silence> seconds

    Examples:
      | case                        | gap  | event                             | silence |
      | the store is quick          | 0.25 | 10 more come 0.25 seconds apart   | 1.2     |
      | the store is slow           | 1.1  | 1 more come 1.1 seconds apart     | 2.2     |
      | it is quick again           | 1.1  | 20 more come 0.25 seconds apart   | 1.2     |
      | the gap was a lost owner's  | 0.25 | another owner comes after 2.5 s   | 1.2     |

  Scenario: Steps on advice run only where a ticket permits it
    Given daemons over fakes, with seed 18
    And an advice service that permits two executors for each step
    When 5 jobs of 3 and 2 tasks are submitted
    And 8 seconds pass
    Then every job is shown as completed
    And every task began on an executor that was permitted

  @invariant_at_most_once
  Scenario: An order to start gives its lease before anything else happens
    Given an idle executor whose last lease is over
    When a stored run on it is ordered, and its sending waits
    Then the run does not count as lapsed

  @invariant_one_pool
  Scenario Outline: A host may be ordered when <case>: <verdict>
    Given the last owner was daemon "a", silent for <silent> seconds
    And it has stored that its order to host "h" was <told>
    When daemon "<next>" takes over, whose lease on hosts is 3 seconds
    Then "h" may be ordered <verdict>, and another host at once

    Examples:
      | case                            | told              | silent | next | verdict      |
      | its order may be on its way     | still to be given | 1.5    | b    | in 4.7 s     |
      | its order was over lately       | over for 1.0 s    | 1.5    | b    | in 0.6 s     |
      | its order was over long ago     | over for 2.0 s    | 1.5    | b    | at once      |
      | only this daemon has ordered it | over for 0.0 s    | 1.5    | a    | at once      |
      | its own order may still arrive  | still to be given | 0.5    | a    | in 2.6 s     |

  @invariant_one_pool
  Scenario: No order is given before the store knows of it
    Given daemon "a" takes over, whose lease on hosts is 3 seconds
    When it is about to order host "h"
    Then it may not order "h"
    When its records are taken to the store
    Then it may not order "h"
    When they are stored
    Then it may order "h"
    When the order is over
    Then it may not order "h"
