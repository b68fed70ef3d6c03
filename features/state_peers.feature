@state
Feature: Daemons tell each other how far they are, at a bounded cost

  Scenario: Every daemon hears of every other, near ones and far ones
    Given 3 zones of 4 daemons that exchange digests
    When 6 periods pass
    Then every daemon knows the revision and offset of all 12

  Scenario: A zone's digest tells who is behind, silent and busy
    Given 3 zones of 4 daemons that exchange digests
    And daemon "z0-1" is behind, "z0-2" is silent and "z0-3" has 5 requests to "h"
    When 6 periods pass
    Then daemon "z2-0" hears that "z0-1" is behind and "z0-0" is not
    And daemon "z2-0" has not heard "z0-2" for 6 s
    And daemon "z2-0" finds no acknowledgement of zone "z0" beyond "z0-1"
    And daemon "z2-0" finds 5 requests to "h" at "z0-3"

  Scenario: A digest doesn't speak for a member that joined after it
    Given 2 zones of 2 daemons that exchange digests
    When a daemon joins zone "z0" that its neighbours have not read
    And 3 periods pass
    Then daemon "z1-0" hears nothing of it

  Scenario: A host that is replaced at its address is a new member
    Given 1 zones of 3 daemons that exchange digests
    When 2 periods pass
    And daemon "z0-1" is replaced by "z0-1b" at its address
    And 2 periods pass
    Then daemon "z0-0" knows "z0-1b" and no more "z0-1"

  Scenario: Different states at one offset are noticed
    Given 2 zones of 2 daemons that exchange digests
    When daemon "z0-1" folds a record differently
    And 12 periods pass
    Then daemon "z0-0" shouts that states differ
    And daemon "z1-0" shouts that states differ

  Scenario: Different states are noticed among daemons not equally far
    Given 1 zones of 2 daemons that exchange digests
    When daemon "z0-1" folds a record differently
    And 70 records follow and daemon "z0-1" lacks the last 3
    And 2 periods pass
    Then daemon "z0-0" shouts that states differ

  Scenario: Equal states are no cause to shout
    Given 3 zones of 4 daemons that exchange digests
    When 70 records follow and daemon "z0-1" lacks the last 3
    And 5 periods pass
    Then no daemon shouts

  Scenario Outline: The cost of a daemon grows with its zone and the zones
    Given <zones> zones of <daemons> daemons with equal states
    When the exchange runs for 20 periods with something new in each
    Then a daemon exchanges at most <per_s> messages and <bytes> bytes a second

    Examples:
      | zones | daemons | per_s | bytes |
      | 3     | 3       | 4     | 4000  |
      | 25    | 2       | 7     | 7000  |
      | 25    | 3       | 7     | 7000  |

  Scenario: A digest that is unchanged is not sent again
    Given 1 zones of 8 daemons that exchange digests
    When the exchange runs for 20 periods with nothing new
    Then a daemon exchanges at most 5 messages and 2000 bytes a second
