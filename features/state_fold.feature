@state
Feature: Folding the log gives the same decisions on every daemon
  Every daemon decides any entry of the log alike and continues after it.

  Scenario Outline: A malformed or unsupported entry is refused with a code
    Given a folded state of Vltava
    When the log holds <entry>
    Then the decision is refused as "<code>"
    And the refusal is counted as "<code>"
    And a valid record after it is accepted

    Examples:
      | entry                       | code             |
      | a string                    | not_plain_data   |
      | bytes                       | not_plain_data   |
      | a number that is not finite | not_plain_data   |
      | a number of 400 digits      | not_plain_data   |
      | half a surrogate pair       | not_plain_data   |
      | an entry of 10 MB           | record_too_large |
      | 100,000 nested lists        | record_too_deep  |
      | a delta nested 5,000 deep   | record_too_deep  |
      | an unknown kind             | unknown_kind     |
      | a list for a kind           | unknown_kind     |
      | a newer level               | newer_level      |
      | a string for a timestamp    | invalid_record   |
      | a missing body              | invalid_record   |

  Scenario: An exception raised by a rule refuses the record
    Given a folded state of Vltava
    When a record is decided by a rule that raises an exception
    Then the decision is refused as "rule_failed"
    And the refusal is counted as "rule_failed"
    And a valid record after it is accepted

  Scenario: A known kind of a newer rule level is refused as unknown
    Given a folded state of Vltava
    When a kind above the rules in force is folded
    Then the decision is refused as "unknown_kind"

  Scenario Outline: A repeated record takes effect once
    Given a folded state of Vltava
    When the log repeats <record> <times> times
    Then every repeat has the first verdict
    And the state is the one after the first record

    Examples:
      | record            | times |
      | an accepted apply | 2     |
      | a refused apply   | 2     |
      | a join            | 3     |
      | a claim           | 2     |
      | a host report     | 2     |

  Scenario: A late repeat of a claim that was returned has no effect
    Given a folded state of Vltava
    When a claim, its return and the same claim again are folded
    Then the claim is still returned

  Scenario Outline: A timestamp far ahead counts once another member confirms it
    Given a folded state of Vltava with <members> members
    When members write timestamps <stamps> hours ahead
    Then the log's time is <hours> hours ahead

    Examples:
      | members | stamps             | hours |
      | 2       | a:0.5              | 0.5   |
      | 2       | a:900              | 0     |
      | 2       | a:900 a:901        | 0     |
      | 2       | a:900 b:0.2        | 0.2   |
      | 2       | a:5 b:6            | 5     |
      | 2       | a:900 b:5 a:6      | 6     |
      | 2       | a:900 non-member:5 | 0     |
      | 1       | a:5                | 5     |

  @invariant_config_in_force
  Scenario: Checking a patch gives the result of checking the whole document
    Then any series of patches gives the results of checking whole documents

  Scenario Outline: A document with a number that JSON cannot represent is refused
    Given a folded state of Vltava
    When its weights are set to <value>
    Then the decision is refused as "refused"

    Examples:
      | value |
      | inf   |
      | nan   |

  Scenario: A change of one host of 5,800 is checked within 10 ms at the median
    Given a folded fleet of 5800 hosts
    When 20 hosts are changed one by one
    Then a change takes at most 10 ms at the median
