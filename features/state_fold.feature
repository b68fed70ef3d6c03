@state
Feature: One fold, the same on every daemon
  Whatever stands in the log, every daemon decides it alike and goes on.

  Scenario Outline: A foreign entry gives a typed decision
    Given a folded state of Vltava
    When the log holds <entry>
    Then the decision is refused as "<code>"
    And the refusal is counted as "<code>"
    And a good record after it is accepted

    Examples:
      | entry                          | code             |
      | a text                         | not_plain_data   |
      | bytes                          | not_plain_data   |
      | a number that is not finite    | not_plain_data   |
      | a number of 400 digits         | not_plain_data   |
      | half a surrogate pair          | not_plain_data   |
      | an entry of 10 MB              | record_too_large |
      | 100,000 nested lists           | record_too_deep  |
      | a delta nested 5,000 deep      | record_too_deep  |
      | an unknown kind                | unknown_kind     |
      | a list for a kind              | unknown_kind     |
      | a newer level                  | newer_level      |
      | a text for a stamp             | invalid_record   |
      | a missing body                 | invalid_record   |

  Scenario: A defect in a rule is a refusal too
    Given a folded state of Vltava
    When a record meets a rule that fails
    Then the decision is refused as "rule_failed"
    And the refusal is counted as "rule_failed"
    And a good record after it is accepted

  Scenario: A kind of a newer level is unknown to a version that knows it
    Given a folded state of Vltava
    When a kind above the rules in force is folded
    Then the decision is refused as "unknown_kind"

  Scenario Outline: A record that stands twice has one effect
    Given a folded state of Vltava
    When the log repeats <record> <times> times
    Then every verdict is the first one
    And the state is as after the first

    Examples:
      | record              | times |
      | an accepted apply   | 2     |
      | a refused apply     | 2     |
      | a join              | 3     |
      | a claim             | 2     |
      | a host report       | 2     |

  Scenario: A late repeat of a claim that was returned claims nothing
    Given a folded state of Vltava
    When a claim, its return and the claim once more are folded
    Then the claim is still returned

  Scenario Outline: A stamp far ahead counts once another member confirms it
    Given a folded state of Vltava with <members> members
    When members stamp <stamps> hours ahead
    Then the log's time is <hours> hours ahead

    Examples:
      | members | stamps           | hours |
      | 2       | a:0.5            | 0.5   |
      | 2       | a:900            | 0     |
      | 2       | a:900 a:901      | 0     |
      | 2       | a:900 b:0.2      | 0.2   |
      | 2       | a:5 b:6          | 5     |
      | 2       | a:900 b:5 a:6    | 6     |
      | 2       | a:900 stranger:5 | 0     |
      | 1       | a:5              | 5     |

  @invariant_config_in_force
  Scenario: Checking an entry gives what checking the whole gives
    Then any series of patches is decided as the whole check decides it

  Scenario Outline: A document refuses what JSON can't carry
    Given a folded state of Vltava
    When its weights are set to <value>
    Then the decision is refused as "refused"

    Examples:
      | value |
      | inf   |
      | nan   |

  Scenario: A change of one host of 5,800 is checked in little time
    Given a folded fleet of 5800 hosts
    When 20 hosts are changed one by one
    Then a change takes at most 10 ms at the median
