@maintenance
Feature: Hosts are reported down and up on evidence

  @invariant_budget
  Scenario Outline: <what> is <verdict>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a daemon sees <what>
    Then the host is <verdict>

    Examples:
      | what                                             | verdict       |
      | one read that misses a live host                 | not reported  |
      | two reads that miss a host that answers          | not reported  |
      | two reads that miss a silent host                | reported down |
      | two reads with a silent host that is not live    | reported down |
      | a live and a missing read of a silent host twice | not reported  |
      | a silent host that is being stopped              | not reported  |
      | a silent host that is being stopped for too long | reported down |
      | a host that is down and answers again            | reported up   |
      | a host that is down and listed but silent        | not reported  |
      | a missing host with no endpoint to probe         | reported down |

  @invariant_budget
  Scenario: A stranger's report changes nothing
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a stranger reports a host down
    Then no host counts as down
