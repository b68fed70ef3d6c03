@state
Feature: The state survives faults of the log and the replacement of daemons
  Neither the revision nor the offset of any daemon ever decreases.

  Scenario: A checkpoint holds the whole state
    Given 3 daemons with the fleet of Vltava and some history
    Then the state that is read from a checkpoint is equal
    And a field of a newer version in it is left out

  Scenario Outline: A checkpoint stream of <entries> yields the newest complete one
    Given checkpoints of a state and of a later one, in 3 parts each
    When the stream holds <entries>
    Then the checkpoint found is <found>

    Examples:
      | entries                        | found       |
      | old, new                       | the new one |
      | new, old                       | the new one |
      | new, new                       | the new one |
      | both, part by part             | the new one |
      | old, new without its last part | the old one |
      | old, new with a changed part   | the old one |
      | foreign entries, new           | the new one |
      | new without its first part     | none        |
      | nothing                        | none        |

  Scenario Outline: A new daemon is ready only as a member with a valid state
    Given 1 daemons with the fleet of Vltava and some history
    When a new daemon <starts>
    Then that daemon is <ready>

    Examples:
      | starts                                       | ready     |
      | reads the log and joins                      | ready     |
      | reads the log                                | not ready |
      | finds the log down and no peer               | not ready |
      | finds the log expired, no peer, a checkpoint | not ready |
      | joins with the log expired and a checkpoint  | ready     |
      | finds the log expired and no peer            | not ready |
      | finds rules that it does not know            | not ready |

  @invariant_leaving
  Scenario Outline: A daemon that is <ready> answers <reason>
    Given 1 daemons with the fleet of Vltava and some history
    When a new daemon <starts>
    Then its response to a request for an unknown service is "<reason>"

    Examples:
      | starts                  | ready     | reason          |
      | reads the log           | not ready | not_ready       |
      | reads the log and joins | ready     | unknown_service |

  @invariant_config_in_force
  Scenario Outline: A paused reader whose offset has expired skips no record
    Given 3 daemons with the fleet of Vltava and some history
    When daemon "c" is paused during 5 applies
    And daemon "a" writes a checkpoint
    And 2 applies follow
    And the records older than the checkpoint expire
    And daemon "c" resumes with <source>
    Then daemon "c" has the state of daemon "a"
    And no state ever regressed

    Examples:
      | source               |
      | its peers            |
      | the checkpoint alone |

  @invariant_config_in_force
  Scenario: A paused reader without peers and checkpoints keeps its state
    Given 3 daemons with the fleet of Vltava and some history
    When daemon "c" is paused during 5 applies
    And all records of the log expire
    And daemon "c" resumes with nothing
    Then daemon "c" has its previous state

  @invariant_config_in_force
  Scenario Outline: Daemons are all replaced <how>
    Given 3 daemons with the fleet of Vltava and some history
    When daemon "a" writes a checkpoint
    And 2 applies follow
    And the records older than the checkpoint expire
    And all daemons are replaced <how>
    Then all daemons have retained the state
    And an apply is accepted as the next revision

    Examples:
      | how        |
      | one by one |
      | at once    |

  @invariant_config_in_force
  Scenario Outline: A log that returns <fault> reverts no daemon
    Given 3 daemons with the fleet of Vltava and some history
    And daemon "c" is <behind> records behind
    When the log returns <fault>
    Then no daemon accepts an append until a new epoch is begun
    And all daemons have retained the state
    And an apply is accepted as the next revision
    And a daemon that joins has the state of daemon "a"
    And no state ever regressed

    Examples:
      | fault              | behind |
      | empty              | 0      |
      | empty              | 2      |
      | 2 entries shorter  | 0      |
      | 3 entries shorter  | 2      |
      | without any stream | 0      |

  @invariant_config_in_force
  Scenario: No epoch is begun when the log shows a stale end for a while
    Given 3 daemons with the fleet of Vltava and some history
    When the log shows a stale end for 5 s
    Then no epoch is begun
    And an apply is accepted as the next revision

  @invariant_config_in_force
  Scenario: A single daemon that reads a stale end begins no epoch
    Given 3 daemons with the fleet of Vltava and some history
    When only daemon "c" reads a stale end
    Then no daemon begins an epoch

  @invariant_config_in_force
  Scenario: An epoch that no daemon adopted is skipped
    Given 3 daemons with the fleet of Vltava and some history
    When an epoch is begun but adopted by no daemon
    And the log returns empty
    And time passes until epoch 2 is begun
    Then all daemons have retained the state
    And an apply is accepted as the next revision

  @invariant_config_in_force
  Scenario: A daemon that reaches no majority begins no epoch
    Given 3 daemons with the fleet of Vltava and some history
    When all daemons are partitioned from each other
    And the log returns empty
    Then no daemon begins an epoch

  @invariant_config_in_force
  Scenario: A daemon that alone has read lost records keeps its state
    Given 3 daemons with the fleet of Vltava and some history
    When daemon "c" alone reads 2 applies that the log then loses
    And daemon "c" is partitioned off until a new epoch is begun
    Then daemon "c" has its previous state
    And it reports that it needs replacement
    And no state ever regressed

  Scenario Outline: Daemons write <count> checkpoints after a log outage of <outage_s> s
    Given 3 daemons with the fleet of Vltava and some history
    When the log is down for <outage_s> s and all records expire
    Then <count> checkpoints are written within a second

    Examples:
      | outage_s | count |
      | 5        | 0     |
      | 600      | 1     |

  Scenario: Checkpoints are written 2 to 4 times per retention period
    Given 3 daemons with the fleet of Vltava and some history
    When 10 retention periods pass
    Then between 20 and 40 checkpoints are written

  @invariant_config_in_force
  Scenario: Any interleaving of faults yields equal digests and no regression
    Then no sequence of faults makes states diverge or regress

  @invariant_config_in_force
  Scenario Outline: Only one of <operators> concurrent operators succeeds
    Given 3 daemons with the fleet of Vltava and some history
    When <operators> operators apply from one revision in log mode <mode>
    Then one apply is accepted and the others are conflicts
    And each operator gets its verdict again for its apply id

    Examples:
      | operators | mode  |
      | 2         | ok    |
      | 3         | lost  |
      | 5         | twice |

  Scenario: A page that was read for a replaced state is discarded
    Given 3 daemons with the fleet of Vltava and some history
    When the state of daemon "c" is replaced while it reads a page
    Then daemon "c" has discarded that page

  Scenario: A daemon without the log continues to serve and catches up
    Given 3 daemons with the fleet of Vltava and some history
    When the log is down for daemon "c" during 3 applies
    Then daemon "c" is ready with its previous state
    And daemon "c" cannot append
    And daemon "c" has the state of daemon "a" once the log is up
