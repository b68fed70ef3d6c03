@jobs
Feature: Each decision on jobs and hosts in isolation

  Scenario Outline: Idle hosts move to pools with a deficit: <case>
    Given pools with these loads
      | pool  | hosts | lasting | rate   | backlog_s | starved | idle   |
      | busy  | 4     | 0       | <rate> | <backlog> | 0       | 0      |
      | small | 1     | 0.5     | 0      | 0         | <small> | 0      |
      | quiet | 5     | 0.2     | 0      | 0         | 0       | <idle> |
    When host moves are planned
    Then <to_busy> hosts move to "busy", <to_small> to "small" and <off> to "off"

    Examples:
      | case                             | rate | backlog | small | idle | to_busy | to_small | off |
      | no pool has a deficit            | 2    | 0       | 0     | 3    | 0       | 0        | 3   |
      | a deficit exceeds the idle hosts | 9    | 8       | 0     | 3    | 3       | 0        | 0   |
      | a starved task is served in turn | 9    | 8       | 1     | 3    | 2       | 1        | 0   |

  Scenario Outline: A maintenance wave keeps to its schedule: <case>
    Given a wave of 10 hosts in 20 seconds, <most> at once
    And <begun> have started, <down> are down, and <elapsed> seconds have passed
    And <idle> due hosts are idle and <busy> have 3 tasks each
    When the wave is planned
    Then <begin> hosts are taken down and <empty> are drained

    Examples:
      | case                        | most | begun | down | elapsed | idle | busy | begin | empty |
      | idle hosts are taken first  | 3    | 0     | 0    | 0       | 2    | 8    | 2     | 0     |
      | the concurrency limit holds | 3    | 2     | 2    | 0       | 4    | 4    | 1     | 0     |
      | no free slot                | 3    | 3     | 3    | 15      | 2    | 5    | 0     | 0     |
      | busy hosts when behind      | 3    | 2     | 0    | 10      | 1    | 7    | 1     | 2     |

  Scenario Outline: Stopping a long-running task is <verdict> with <others> others running
    When one of 5 long-running tasks, <unavailable> unavailable at most, is to stop
    Then that is <verdict> while <others> of the others are running

    Examples:
      | unavailable | others | verdict |
      | 1           | 4      | allowed |
      | 1           | 3      | denied  |
      | 2           | 3      | allowed |
      | 0           | 4      | denied  |

  Scenario Outline: Filler tasks are slowed down for a serving task: <case>
    Given a serving task at <tail> of its target and a filler at <percent> percent
    When paces are planned <after> seconds after the last change
    Then the filler's pace is <pace>

    Examples:
      | case                            | tail | percent | after | pace |
      | well below its target           | 0.3  | 100     | 5     | 100  |
      | near its target                 | 0.9  | 100     | 1     | 50   |
      | over its target                 | 1.2  | 50      | 1     | 0    |
      | over it, shortly after a change | 1.2  | 100     | 0.2   | 100  |
      | below it again for some time    | 0.3  | 40      | 3     | 60   |

  Scenario Outline: A filler is told its pace when it is not known: <case>
    Given a serving task at <tail> of its target and a filler at 100 percent
    And <reason> that may have changed its pace, and it uses <usage> millicores
    When paces are planned <after> seconds after the last change
    Then the filler's pace is <pace>, and it is told <told>

    Examples:
      | case                             | tail | reason              | usage | after | pace | told |
      | stopped, and well below          | 0.3  | an earlier owner    | 0     | 1     | 20   | it   |
      | stopped, and near the target     | 0.7  | an earlier owner    | 0     | 1     | 0    | it   |
      | at work, and well below          | 0.3  | an earlier owner    | 800   | 1     | 100  | it   |
      | at work, and near the target     | 0.9  | an earlier owner    | 800   | 1     | 50   | it   |
      | at work, and over the target     | 1.2  | an earlier owner    | 800   | 1     | 0    | it   |
      | stopped, the answer was lost     | 0.3  | an unanswered call  | 0     | 1     | 20   | it   |
      | only just told                   | 0.3  | an unanswered call  | 0     | 0.2   | 100  | none |

  Scenario: A job that can meet its objective goes before one that can't
    Given ready steps "late", 1 second past its objective, and "fresh", in time
    When they are ranked
    Then "fresh" goes before "late"

  Scenario: Declared run times are corrected by measured ones
    When 20 tasks of a queue take half the declared time
    Then its declared times are halved

  Scenario: Random variation in arrivals does not count as growth
    When 1, 2, 1 and 2 jobs arrive in quarters of a second, for 3 seconds
    Then no growth is forecast
    When 10 jobs arrive in each quarter of the next second
    Then growth is forecast

  Scenario Outline: A call is hedged after a multiple of the usual latency: <case>
    Given a callee that answered ten calls in <took> seconds each
    When one more answer takes <last> seconds
    Then the next call is hedged after <delay> seconds

    Examples:
      | case                | took  | last  | delay |
      | latency is low      | 0.005 | 0.005 | 0.25  |
      | latency is high     | 0.3   | 0.3   | 1.8   |
      | latency has risen   | 0.005 | 0.3   | 1.8   |
      | the delay is capped | 0.005 | 0.9   | 2.0   |

  Scenario Outline: The latency of reads is estimated without the transfer: <case>
    When a read that may wait <wait> s returns <count> records, begun after <began> s and over <took> s
    Then the next call is hedged after <delay> seconds

    Examples:
      | case                          | wait | count | began | took | delay |
      | no records, low latency       | 0.3  | 0     | 0.305 | 0    | 0.25  |
      | no records, high latency      | 0.3  | 0     | 0.6   | 0    | 1.8   |
      | records without wait          | 0    | 3     | 0.3   | 0    | 1.8   |
      | a long page without wait      | 0    | 3     | 0.005 | 1.7  | 0.25  |
      | records after an unknown wait | 0.3  | 3     | 0.3   | 1.7  | 0.25  |

  Scenario Outline: Pages follow what the link carries: <rate> bytes a second
    When 6000000 bytes are read over a link of <rate> bytes a second
    Then that took at most <reads> reads
    And no page after the first <first> took longer than 0.4 seconds

    Examples:
      | rate     | reads | first |
      | 12500000 | 10    | 0     |
      | 600000   | 47    | 0     |
      | 60000    | 380   | 3     |

  Scenario: A link that becomes narrow and wide again gets its long pages back
    When 6000000 bytes are read over a link of 12500000 bytes a second
    And 6000000 bytes are read over a link of 300000 bytes a second
    Then no page after the first 4 took longer than 0.4 seconds
    When 6000000 bytes are read over a link of 12500000 bytes a second
    Then that took at most 10 reads

  Scenario Outline: The first answer to a hedged call counts: <case>
    Given a call whose copies are <copies>
    When it is made with a timeout of 1 second
    Then it is <outcome>, after <sent> copies and <took> seconds

    Examples:
      | case                         | copies                              | outcome     | sent | took |
      | the call is answered         | answered in 0.01                    | answered    | 1    | 0.01 |
      | the answer is lost           | lost, answered in 0.01              | answered    | 2    | 0.26 |
      | the first answer is slow     | answered in 0.4, lost               | answered    | 2    | 0.4  |
      | the call is refused          | refused in 0.01                     | refused     | 1    | 0.01 |
      | the connection breaks        | broken in 0.01, answered in 0       | answered    | 2    | 0.25 |
      | no answer arrives            | lost, lost, lost                    | unknown     | 3    | 1.0  |
      | one copy is unavailable      | lost, unavailable in 0.01, lost     | unknown     | 3    | 1.0  |
      | unavailable after a break    | broken in 0.01, unavailable in 0.01 | unknown     | 2    | 0.26 |
      | the only copy is unavailable | unavailable in 0.01                 | unavailable | 1    | 0.01 |

  Scenario Outline: Claiming from an owner is <verdict> when <case>
    Given a store read <read_ago> seconds ago, readable for <readable> seconds
    And the owner's last record was <record_ago> seconds ago
    Then a claim is <verdict>

    Examples:
      | case                         | read_ago | readable | record_ago | verdict |
      | it is active                 | 0.1      | 60       | 0.2        | denied  |
      | it stopped writing           | 0.1      | 60       | 1.7        | allowed |
      | the store is unreadable      | 3.0      | 60       | 5.0        | denied  |
      | the store has just recovered | 0.1      | 0.5      | 9.0        | denied  |

  Scenario: A page that took long doesn't prove that the owner is silent
    Given a store read 0.3 seconds ago, readable for 60 seconds
    And its page had taken 1 seconds to arrive
    And the owner's last record was 1.6 seconds ago
    Then a claim is denied

  Scenario Outline: The owner timeout grows with a slow store: <case>
    Given an owner whose records were <gap> seconds apart
    When <event>
    Then its timeout is <timeout> seconds

    Examples:
      | case                          | gap  | event                             | timeout |
      | the store is fast             | 0.25 | 10 more follow 0.25 seconds apart | 0.8     |
      | the store is slow             | 1.1  | 1 more follow 1.1 seconds apart   | 2.2     |
      | the store is fast again       | 1.1  | 20 more follow 0.25 seconds apart | 0.8     |
      | the gap was a change of owner | 0.25 | another owner writes after 2.5 s  | 0.8     |

  Scenario: Steps that need advice run only on executors with a ticket
    Given simulated daemons with seed 18
    And an advice service that permits two executors for each step
    When 5 jobs of 3 and 2 tasks are submitted
    And 8 seconds pass
    Then every job is reported as completed
    And every task started on a permitted executor

  @invariant_at_most_once
  Scenario: A start request grants a lease before it is sent
    Given an idle executor whose last lease has expired
    When a start of a stored run is queued but not yet sent
    Then the executor's lease has not expired

  @invariant_one_pool
  Scenario Outline: A new owner may operate on a host <verdict> when <case>
    Given the last owner was daemon "a", whose last record is <age> seconds old
    And its stored intent for host "h" is <intent>
    When daemon "<next>" takes over with a host lease of 3 seconds
    Then it may operate on "h" <verdict>, and on another host at once

    Examples:
      | case                               | intent          | age | next | verdict  |
      | the operation may be in flight     | not yet sent    | 1.5 | b    | in 4.7 s |
      | the operation ended recently       | quiet for 1.0 s | 1.5 | b    | in 0.6 s |
      | the operation ended long ago       | quiet for 2.0 s | 1.5 | b    | at once  |
      | the only operation was its own     | quiet for 0.0 s | 1.5 | a    | at once  |
      | its own operation may be in flight | not yet sent    | 0.5 | a    | in 2.6 s |

  @invariant_one_pool
  Scenario: No host operation is sent before its intent is stored
    Given daemon "a" takes over with a host lease of 3 seconds
    When it is about to operate on host "h"
    Then it may not operate on "h"
    When its intents are sent to the store
    Then it may not operate on "h"
    When they are stored
    Then it may operate on "h"
    When the operation has ended
    Then it may not operate on "h"

  Scenario Outline: Blocked long-running tasks ask for few hosts: <case>
    When <tasks> tasks of each of <steps> steps find no room elsewhere
    And each step may have <limit> on an executor and <away> away
    Then they ask for <hosts> hosts

    Examples:
      | case                          | tasks | steps | limit | away | hosts |
      | none                          | 0     | 2     | 1     | 2    | 0     |
      | one on each executor          | 9     | 1     | 1     | 2    | 2     |
      | two on each executor          | 9     | 1     | 2     | 2    | 1     |
      | steps share a host            | 9     | 5     | 2     | 2    | 1     |
      | any number on an executor     | 9     | 1     | 0     | 3    | 1     |
      | any number away               | 9     | 1     | 3     | -1   | 3     |
      | none may be away              | 9     | 1     | 1     | 0    | 0     |
