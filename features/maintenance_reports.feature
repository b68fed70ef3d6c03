@maintenance
Feature: Hosts are reported down and up from list reads and probes

  @invariant_budget
  Scenario Outline: <what> is <verdict>
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a daemon sees <what>
    Then the host is <verdict>

    Examples:
      | what                                                    | verdict       |
      | one read that misses a live host                        | not reported  |
      | two reads that miss a host that answers                 | not reported  |
      | two reads that miss an unresponsive host                | reported down |
      | two reads with an unresponsive host that is not live    | reported down |
      | an unresponsive host that is live in every second read  | not reported  |
      | an unresponsive host that is being stopped              | not reported  |
      | an unresponsive host that is being stopped for too long | reported down |
      | a host that is down and answers again                   | reported up   |
      | a host that is down and listed but unresponsive         | not reported  |
      | a missing host with no endpoint to probe                | reported down |

  @invariant_budget
  Scenario: A report by a non-member changes nothing
    Given entry hosts and a wave over the hosts of "pr-checker"
    When a non-member reports a host down
    Then no host counts as down
