@state
Feature: The state outlives every fault of the log and every daemon
  Neither the revision nor the offset of any daemon ever falls.

  Scenario: A checkpoint holds the whole state
    Given 3 daemons with the fleet of Vltava and some history
    Then the state that is read from a checkpoint is equal
    And a field of a newer version in it is left out

  Scenario Outline: A checkpoint stream of <entries> gives the newest whole one
    Given checkpoints of a state and of a later one, in 3 parts each
    When the stream holds <entries>
    Then the one that is found is <found>

    Examples:
      | entries                         | found       |
      | old, new                        | the new one |
      | new, old                        | the new one |
      | new, new                        | the new one |
      | both, part by part              | the new one |
      | old, new without its last part  | the old one |
      | old, new with a changed part    | the old one |
      | foreign entries, new            | the new one |
      | new without its first part      | none        |
      | nothing                         | none        |

  Scenario Outline: A daemon is ready only with something to vouch for
    Given 1 daemons with the fleet of Vltava and some history
    When another daemon <starts>
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
    When another daemon <starts>
    Then its answer to a request for no service is "<reason>"

    Examples:
      | starts                       | ready     | reason          |
      | reads the log                | not ready | not_ready       |
      | reads the log and joins      | ready     | unknown_service |

  @invariant_config_in_force
  Scenario Outline: A frozen reader whose offset expired skips nothing
    Given 3 daemons with the fleet of Vltava and some history
    When daemon "c" is frozen over 5 applies
    And daemon "a" writes a checkpoint
    And 2 applies follow
    And the log forgets what is older than the checkpoint
    And daemon "c" wakes with <help>
    Then daemon "c" has the state of daemon "a"
    And nobody ever went back

    Examples:
      | help                     |
      | its peers                |
      | the checkpoint alone     |

  @invariant_config_in_force
  Scenario: A frozen reader without peer and checkpoint stays where it is
    Given 3 daemons with the fleet of Vltava and some history
    When daemon "c" is frozen over 5 applies
    And the log forgets everything
    And daemon "c" wakes with nothing
    Then daemon "c" has the state it had

  @invariant_config_in_force
  Scenario Outline: Daemons are all replaced <how>
    Given 3 daemons with the fleet of Vltava and some history
    When daemon "a" writes a checkpoint
    And 2 applies follow
    And the log forgets what is older than the checkpoint
    And all daemons are replaced <how>
    Then all daemons have the state from before
    And an apply is accepted as the next revision

    Examples:
      | how        |
      | one by one |
      | at once    |

  @invariant_config_in_force
  Scenario Outline: A log that comes back <fault> reverts nobody
    Given 3 daemons with the fleet of Vltava and some history
    And daemon "c" is <behind> records behind
    When the log comes back <fault>
    Then nobody accepts an append until it is begun anew
    And all daemons have the state from before
    And an apply is accepted as the next revision
    And a daemon that joins has the state of daemon "a"
    And nobody ever went back

    Examples:
      | fault                 | behind |
      | empty                 | 0      |
      | empty                 | 2      |
      | 2 entries shorter     | 0      |
      | 3 entries shorter     | 2      |
      | without any stream    | 0      |

  @invariant_config_in_force
  Scenario: A log that shows an old tail for a while is not begun anew
    Given 3 daemons with the fleet of Vltava and some history
    When the log shows an old tail for 5 s
    Then no epoch is begun
    And an apply is accepted as the next revision

  @invariant_config_in_force
  Scenario: One daemon that is shown an old tail begins nothing
    Given 3 daemons with the fleet of Vltava and some history
    When only daemon "c" is shown an old tail
    Then no daemon begins an epoch

  @invariant_config_in_force
  Scenario: An epoch that nobody took up is passed over
    Given 3 daemons with the fleet of Vltava and some history
    When an epoch is begun in that moment and taken up by nobody
    And the log comes back empty
    And time passes until epoch 2 is begun
    Then all daemons have the state from before
    And an apply is accepted as the next revision

  @invariant_config_in_force
  Scenario: A daemon that hears no majority begins nothing
    Given 3 daemons with the fleet of Vltava and some history
    When all daemons are cut off from each other
    And the log comes back empty
    Then no daemon begins an epoch

  @invariant_config_in_force
  Scenario: A daemon that alone knows more stays where it is
    Given 3 daemons with the fleet of Vltava and some history
    When daemon "c" alone reads 2 applies that the log then loses
    And daemon "c" is cut off until the log is begun anew
    Then daemon "c" has the state it had
    And it says that it has to be replaced
    And nobody ever went back

  Scenario Outline: The first to reach the log after <outage_s> s writes <count>
    Given 3 daemons with the fleet of Vltava and some history
    When the log is down for <outage_s> s and all records expire
    Then <count> checkpoints are written within a second

    Examples:
      | outage_s | count |
      | 5        | 0     |
      | 600      | 1     |

  Scenario: A checkpoint is written once in a share of the retention
    Given 3 daemons with the fleet of Vltava and some history
    When 10 times the retention pass
    Then between 20 and 40 checkpoints are written

  @invariant_config_in_force
  Scenario: Any interleaving gives equal digests and never goes back
    Then no series of faults makes daemons differ or go back

  @invariant_config_in_force
  Scenario Outline: Of <operators> operators who race one wins
    Given 3 daemons with the fleet of Vltava and some history
    When <operators> operators apply from one revision, answers <answers>
    Then one apply is accepted and the others are conflicts
    And each operator learns its verdict again by its id

    Examples:
      | operators | answers |
      | 2         | ok      |
      | 3         | lost    |
      | 5         | twice   |

  Scenario: A page that was read for another state is left
    Given 3 daemons with the fleet of Vltava and some history
    When the state of daemon "c" is replaced while it reads a page
    Then daemon "c" has left that page

  Scenario: A daemon cut off from the log serves on and catches up
    Given 3 daemons with the fleet of Vltava and some history
    When the log is down for daemon "c" over 3 applies
    Then daemon "c" is ready with the state it had
    And daemon "c" can not append
    And daemon "c" has the state of daemon "a" once the log is back
