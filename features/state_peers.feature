@state
Feature: Daemons exchange digests of their progress at a bounded cost

  Scenario: Every daemon receives the digest of every other, in its zone and beyond
    Given 3 zones of 4 daemons that exchange digests
    When 6 periods pass
    Then every daemon knows the revision and offset of all 12

  Scenario: A zone's digest shows which daemons are behind, unresponsive and busy
    Given 3 zones of 4 daemons that exchange digests
    And daemon "z0-1" is behind, "z0-2" is unresponsive and "z0-3" has 5 requests to "h"
    When 6 periods pass
    Then daemon "z2-0" learns that "z0-1" is behind and "z0-0" is not
    And daemon "z2-0" has received no digest of "z0-2" for 6 s
    And daemon "z2-0" finds no acknowledgement of zone "z0" beyond "z0-1"
    And daemon "z2-0" finds 5 requests to "h" at "z0-3"

  Scenario: A digest does not cover a member that joined after it
    Given 2 zones of 2 daemons that exchange digests
    When a daemon joins zone "z0" that its neighbours have not read
    And 3 periods pass
    Then daemon "z1-0" receives no digest of it

  Scenario: A daemon that replaces another at its address is a new member
    Given 1 zones of 3 daemons that exchange digests
    When 2 periods pass
    And daemon "z0-1" is replaced by "z0-1b" at its address
    And 2 periods pass
    Then daemon "z0-0" knows "z0-1b" and no longer "z0-1"

  Scenario: Different states at the same offset are detected
    Given 2 zones of 2 daemons that exchange digests
    When daemon "z0-1" folds a record differently
    And 12 periods pass
    Then daemon "z0-0" reports diverged states
    And daemon "z1-0" reports diverged states

  Scenario: Different states are detected between daemons at different offsets
    Given 1 zones of 2 daemons that exchange digests
    When daemon "z0-1" folds a record differently
    And 70 records follow and daemon "z0-1" lacks the last 3
    And 2 periods pass
    Then daemon "z0-0" reports diverged states

  Scenario: Equal states are not reported as diverged
    Given 3 zones of 4 daemons that exchange digests
    When 70 records follow and daemon "z0-1" lacks the last 3
    And 5 periods pass
    Then no daemon reports diverged states

  Scenario Outline: The cost of a daemon grows with its zone's size and the number of zones
    Given <zones> zones of <daemons> daemons with equal states
    When the exchange runs for 20 periods with a new record in each
    Then a daemon exchanges at most <per_s> messages and <bytes> bytes a second

    Examples:
      | zones | daemons | per_s | bytes |
      | 3     | 3       | 4     | 4000  |
      | 25    | 2       | 7     | 7000  |
      | 25    | 3       | 7     | 7000  |

  Scenario: An unchanged digest is not sent again
    Given 1 zones of 8 daemons that exchange digests
    When the exchange runs for 20 periods without new records
    Then a daemon exchanges at most 5 messages and 2000 bytes a second
