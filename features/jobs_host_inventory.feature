@jobs
Feature: What the owner knows of hosts while they move between pools

  Scenario: Hosts are listed often while orders follow each other
    Given an inventory of 4 hosts in pool "ci"
    When a host is ordered to pool "web" every 0.1 seconds for 3 seconds
    Then no two lists were more than 0.5 seconds apart

  Scenario Outline: A host counts once for the pool that it moves to: <case>
    Given an inventory of 4 hosts in pool "ci"
    When 2 hosts are ordered to pool "web"
    And the new executors of <known> of them <seen>
    Then <arriving> hosts are arriving in pool "web"

    Examples:
      | case                     | known | seen                  | arriving |
      | no executor is known     | 0     | have published        | 2        |
      | an executor has started  | 1     | have published        | 2        |
      | an executor may be used  | 1     | were polled           | 1        |
      | both may be used         | 2     | were polled           | 0        |

  Scenario: The crash of an executor with runs is noticed soon
    Given an inventory of 4 hosts in pool "ci", whose executors run tasks
    When the executor of one host crashes
    Then it is known to have ended within 0.8 seconds
    And it is known to have crashed

  Scenario: An executor that is only silent is not taken for ended
    Given an inventory of 4 hosts in pool "ci", whose executors run tasks
    When the executor of one host is silent for 3 seconds
    Then no executor is known to have ended

  Scenario: A new executor that lists don't show so far is not taken for ended
    Given an inventory of 4 hosts in pool "ci", whose executors run tasks
    When a new executor that no list shows is silent for 0.9 seconds
    Then no executor is known to have ended
