@jobs
Feature: What is held of an executor ends with its incarnation

  An executor may begin again under its id. Its clock, its ends and the epoch
  that it has seen begin anew then. One that is taken for ended, and goes on,
  is found again.

  @invariant_at_most_once
  # A lease on the former clock lasts the longest time on the new one, so that
  # a task runs on after it was started elsewhere.
  Scenario Outline: An executor that began again and is cut off runs no task that runs elsewhere: <case>
    Given simulated daemons with seed <seed>
    When 4 jobs of 4 and 2 tasks are submitted
    And 15 seconds pass
    And all executors begin again under their ids
    And <known> seconds pass
    And <answers> answers of executors arrive
    And a load "w" of 12 tasks of 9 s arrives
    And <started> seconds pass
    And each second executor is cut off for 5.5 s, and <entries>
    And 25 seconds pass
    Then job "w" is reported as completed by every daemon
    And no invariant was violated

    Examples:
      | case                                       | seed | known | answers | started | entries         |
      | the entry was read, and nothing was polled | 751  | 1.6   | all     | 0.1     | keeps its entry |
      | learned from the entry                     | 752  | 1.6   | all     | 0.8     | keeps its entry |
      | learned from the entry, which is removed   | 753  | 1.6   | all     | 0.8     | loses its entry |
      | learned from a start                       | 754  | 0     | all     | 0.8     | keeps its entry |
      | not learned, no start was answered         | 755  | 0     | no      | 0.1     | keeps its entry |
      | the same, and the entry is removed         | 756  | 0     | no      | 0.1     | loses its entry |
      | learned, no start was answered             | 757  | 1.6   | no      | 0.1     | keeps its entry |

  # The clock in a late answer of the former incarnation would make the leases
  # of the new one too long.
  Scenario Outline: A start is answered <when>
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When a start is sent to it
    And it is told to have begun <again>
    And the start is accepted at <clock> s of a clock
    Then the started run is <phase>
    And leases count from <reading> s of its clock

    Examples:
      | when                                       | again      | clock | phase   | reading |
      | by the incarnation that it was sent to     | at 1000 ms | 50.0  | running | 50.0    |
      | by the former incarnation, late            | at 2000 ms | 50.0  | unknown | no      |
      | by a new incarnation that was learned of   | at 2000 ms | 0.2   | unknown | no      |
      | by a new incarnation, not learned of       | at 1000 ms | 0.2   | unknown | no      |

  # The former address may have gone to another executor, which answers that
  # the called one isn't there. The new incarnation was never used again.
  Scenario Outline: An answer of another executor ends <which>
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When a start is sent to it
    And it is told to have begun <again>
    And another executor answers the <call>
    Then the executor has <verdict>

    Examples:
      | which                                      | again      | call  | verdict                                    |
      | the incarnation that the start was sent to | at 1000 ms | start | ended                                      |
      | no incarnation that began since a start    | at 2000 ms | start | not ended, and the run can start elsewhere |
      | the incarnation that was polled            | at 1000 ms | poll  | ended                                      |
      | no incarnation that began during a poll    | at 2000 ms | poll  | not ended                                  |
      | the incarnation that a stop was sent to    | at 1000 ms | stop  | ended                                      |
      | no incarnation that began during a stop    | at 2000 ms | stop  | not ended                                  |

  # A start in flight reaches the new incarnation: the task would run twice.
  Scenario Outline: A poll of a new incarnation ends only what ended with the former: <run>
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When a start is sent to it
    And the start is <answer>
    And a poll that was sent <sent> is answered by an incarnation that began at 2000 ms, and lists no run
    Then <ended> run there has ended

    Examples:
      | run                                    | answer                        | sent   | ended |
      | accepted before the poll was sent      | accepted at 50 s of a clock   | later  | 1     |
      | accepted after the poll was sent       | accepted at 50 s of a clock   | before | 0     |
      | in flight                              | not answered so far           | later  | 0     |
      | without an answer                      | not answered in time          | later  | 0     |

  # An entry that another has written must not exclude an executor for good.
  Scenario: An executor goes on that an entry wrongly tells to have begun again
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When it is told to have begun at 9000 ms
    Then nothing may start there
    When a poll that was sent later is answered by an incarnation that began at 1000 ms, and lists no run
    Then tasks may start there

  # The time of day may be set back between two incarnations.
  Scenario: A poll that is answered by an earlier birth than the known one is believed
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When a poll that was sent later is answered by an incarnation that began at 500 ms, and lists no run
    Then tasks may start there
    And leases count from 0.5 s of its clock

  # A new incarnation was blamed for what an order to the former one did.
  Scenario Outline: An incarnation that was <expected> ends as <kind>
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When the executor is then <expected>
    And a poll that was sent later is answered by an incarnation that began at 2000 ms, and lists no run
    Then the former incarnation has ended as <kind>

    Examples:
      | expected     | kind    |
      | running      | crashed |
      | leaving      | planned |
      | ordered away | planned |

  # An owner's leases reach the incarnation that begins after a takeover.
  Scenario Outline: A run that a predecessor started is waited for when its executor <begins>
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    And a run that a predecessor started there under a lease of up to 10 s
    When it is told to have begun at <born> ms
    And <passed> s pass without an answer
    Then <ended> run there has ended

    Examples:
      | begins      | born | passed | ended |
      | goes on     | 1000 | 9.5    | 0     |
      | goes on     | 1000 | 10.5   | 1     |
      | begins anew | 2000 | 9.5    | 0     |
      | begins anew | 2000 | 10.5   | 1     |

  # Executors of a zone that was cut off were never used again.
  Scenario Outline: An executor that was only cut off is used again: <case>
    Given simulated daemons with seed <seed>, whose executors <births>
    When a load "r" of 4 tasks of <work> s arrives, one on each executor
    And 1 second passes
    And all executors are cut off for 6.5 s, and <entries>
    And 9 seconds pass
    And a load "w" of 4 tasks of 2 s arrives, one on each executor
    And 3 seconds pass
    Then job "w" is reported as completed by every daemon
    And no invariant was violated

    Examples:
      | case                          | seed | births               | work | entries           |
      | its entry was removed         | 761  | have an id each life | 20   | loses its entry   |
      | its entry was removed, births | 762  | tell their births    | 20   | loses its entry   |
      | no list showed it             | 763  | have an id each life | 0.3  | is listed nowhere |
      | no list showed it, births     | 764  | tell their births    | 0.3  | is listed nowhere |

  # Executors that crashed and were back under their ids were never used again.
  Scenario Outline: An executor that crashes and begins again under its id is used again: <down> s later
    Given simulated daemons with seed <seed>, whose executors tell their births
    When a load "r" of 4 tasks of 3 s arrives, one on each executor
    And 1 second passes
    And all executors crash, and begin again under their ids <down> s later
    And 13 seconds pass
    And a load "w" of 4 tasks of 2 s arrives, one on each executor
    And 3 seconds pass
    Then job "w" is reported as completed by every daemon
    And job "r" is reported as completed by every daemon
    And no invariant was violated

    Examples:
      | down | seed |
      | 0.8  | 771  |
      | 4.5  | 772  |
      | 8    | 773  |

  # Machines whose upkeep was done and not answered were never used again.
  Scenario Outline: A host whose maintenance was ordered without an answer is used again: <case>
    Given simulated daemons with seed <seed>, whose executors <births>
    When 2 seconds pass
    And the host service answers nothing for 5 s from the first order on
    And a wave over all hosts of the pool is requested, 2 at once, within 26 seconds
    And <owner>
    And 26 seconds pass
    And a load "w" of 4 tasks of 2 s arrives, one on each executor
    And 3 seconds pass
    Then job "w" is reported as completed by every daemon
    And the wave is reported as completed
    And no invariant was violated

    Examples:
      | case                     | seed | births               | owner                             |
      | repeated by the owner    | 781  | have an id each life | 1 second passes                   |
      | repeated, births         | 782  | tell their births    | 1 second passes                   |
      | repeated by a successor  | 783  | have an id each life | the owner is killed 2.5 s after the first order |
      | by a successor, later    | 784  | have an id each life | the owner is killed 4 s after the first order |

  # What is stored late, kept or read again must not bring back what has ended.
  Scenario Outline: An entry of a removed executor: <case>
    Given an executor that began at <born> ms and told entry 7, and has ended, as <departure>
    And a list of hosts that was requested <listed> shows it
    When entry <sequence> of an incarnation that began at <told> ms is read
    Then the removed executor is <verdict>

    Examples:
      | case                                | departure                                         | born | listed | told | sequence | verdict   |
      | read again, cut off                 | its entry was removed and its leases have expired | 0    | later  | 0    | 7        | not there |
      | newer, cut off                      | its entry was removed and its leases have expired | 0    | never  | 0    | 8        | there     |
      | read again, crashed                 | not on any listed host                            | 1000 | never  | 1000 | 7        | not there |
      | newer, stored late, crashed         | not on any listed host                            | 1000 | never  | 1000 | 8        | not there |
      | newer, stored late, earlier list    | not on any listed host                            | 1000 | before | 1000 | 8        | not there |
      | newer, and listed again             | not on any listed host                            | 1000 | later  | 1000 | 8        | there     |
      | read again, and listed again        | not on any listed host                            | 1000 | later  | 1000 | 7        | not there |
      | of the next life, on no list        | not on any listed host                            | 1000 | never  | 2000 | 1        | there     |
      | of a former life, stored late       | not on any listed host                            | 1000 | later  | 500  | 9        | not there |
      | newer, after maintenance            | maintenance of its host began                     | 0    | later  | 0    | 8        | there     |
      | stored late, after maintenance      | maintenance of its host began                     | 0    | never  | 0    | 8        | not there |
      | read again, after maintenance       | maintenance of its host began                     | 0    | later  | 0    | 7        | not there |
      | of the next life, after maintenance | maintenance of its host began                     | 1000 | never  | 2000 | 1        | there     |
      | newer, after a move                 | its host was moved                                | 0    | later  | 0    | 8        | there     |
      | stored late, after a move           | its host was moved                                | 0    | before | 0    | 8        | not there |
      | of the next life, after a move      | its host was moved                                | 1000 | never  | 2000 | 1        | there     |
      | stored late, replaced               | its host runs a newer executor                    | 0    | later  | 0    | 8        | not there |
      | of the next life, replaced          | its host runs a newer executor                    | 1000 | never  | 2000 | 1        | there     |
      | stored late, address taken          | another executor answers at its address           | 0    | later  | 0    | 8        | not there |
      | of the next life, address taken     | another executor answers at its address           | 1000 | never  | 2000 | 1        | there     |

  # A call to the executor that was removed ended the one that was found.
  Scenario Outline: A late answer ends no executor that was found again since: <answer>
    Given an executor that is known to have begun at 1000 ms, at 50 s of its clock
    When a start is sent to it
    And it is removed, listed again, and found again
    And <answer>
    Then the executor has not ended

    Examples:
      | answer                                  |
      | another executor answers the start      |
      | the start is accepted at 50 s of a clock |
      | the order to its host is answered       |

  Scenario: The log tells why an entry makes no executor known
    Given an executor that began at 0 ms and told entry 7, and has ended, as its host runs a newer executor
    When entry 7 of an incarnation that began at 0 ms is read
    And entry 8 of an incarnation that began at 0 ms is read
    Then the log tells once that its entry is ignored, since its host runs a newer executor

  # A lease of the life that goes on holds; one of a life that is over doesn't,
  # unless the call that carried it may have reached the next one.
  Scenario Outline: The lease of an executor that is found again: <case>
    Given an executor that began at 1000 ms and told entry 7, and has ended, as not on any listed host
    And the last call to it was <answered>
    And a list of hosts that was requested later shows it
    When entry <sequence> of an incarnation that began at <told> ms is read
    And <passed> s pass
    Then the lease of the executor has <expired>

    Examples:
      | case                            | answered     | told | sequence | passed | expired     |
      | the same incarnation            | not answered | 1000 | 8        | 3.9    | not expired |
      | the same incarnation, later     | not answered | 1000 | 8        | 4.6    | expired     |
      | the next incarnation            | answered     | 2000 | 1        | 0      | expired     |
      | the next one, which may have it | not answered | 2000 | 1        | 9.9    | not expired |

  @invariant_at_most_once
  Scenario: Random faults beside executors that begin again violate no invariant
    When simulations with random faults and incarnations of seeds 7700 to 7711 run
    Then no simulation violated an invariant or left a job unfinished
