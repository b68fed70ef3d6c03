@requests @invariant_at_most_once
Feature: A non-idempotent request runs at most once, wherever it is repeated

  Scenario Outline: A repeat elsewhere after: <event>
    Given two entry hosts that share a log
    When a request is sent to the first, and <event>
    Then the first reports <first>
    When the same request is sent to the second
    Then the second reports <second>
    And the request ran <runs> times

    Examples:
      | event                                            | first                     | second                  | runs |
      | it is answered                                   | answered 200              | unknown already_claimed | 1    |
      | the append's answer is lost                      | answered 200              | unknown already_claimed | 1    |
      | the endpoints refuse it                          | not_run endpoint_refused  | answered 200            | 1    |
      | the endpoints are gone                           | not_run no_endpoint       | not_run no_endpoint     | 0    |
      | the endpoint breaks off before running           | unknown answer_lost       | unknown already_claimed | 0    |
      | the endpoint breaks off after running            | unknown answer_lost       | unknown already_claimed | 1    |
      | the log is down                                  | not_run claim_unavailable | answered 200            | 1    |
      | the claim is read back after the timeout         | not_run claim_unavailable | answered 200            | 1    |
      | it is killed before it sends                     | nothing                   | unknown already_claimed | 0    |
      | it is killed after it sent                       | nothing                   | unknown already_claimed | 1    |
      | it is paused past the deadline before it sends   | not_run deadline_passed   | answered 200            | 1    |
      | it is paused past the deadline while it connects | not_run deadline_passed   | answered 200            | 1    |

  @invariant_not_run
  Scenario Outline: A request that ran is not told not run when <hindrance>
    Given two entry hosts that share a log
    And a request that ran, <known>
    When <hindrance>
    Then a repeat is told unknown already_claimed
    And the request ran 1 times

    Examples:
      | known       | hindrance                       |
      | by a claim  | the entry host is leaving       |
      | by a claim  | the log is lost                 |
      | by a claim  | the repeat is past its deadline |
      | by a ticket | the entry host is leaving       |
      | by a ticket | the repeat is past its deadline |

  Scenario: The same request at all entry hosts at once runs once
    Given two entry hosts that share a log
    When one request is sent 10 times to each of them at once
    Then exactly 1 is answered and the others are told already_claimed
    And the request ran 1 times

  Scenario: A late return of one claim frees no later claim
    Given two entry hosts that share a log
    When a request is refused, repeated at the same entry host and returned again
    Then the same request at the second entry host does not run again

  Scenario Outline: How long a claim is kept: <case>
    Given a claim with a deadline at 100 s
    When log time reaches <log_time_s> s
    And a claim on the same key with a deadline at <deadline_s> s arrives
    Then it is <verdict>

    Examples:
      | case                               | log_time_s | deadline_s | verdict  |
      | before the deadline                | 50         | 100        | refused  |
      | repeated with a later deadline     | 120        | 200        | refused  |
      | past its own deadline              | 106        | 100        | refused  |
      | expired, and past its own deadline | 161        | 100        | refused  |
      | long after                         | 161        | 300        | accepted |

  Scenario: Claims with far deadlines keep no others in memory
    Given 50 claims with a deadline a day away
    When 5000 claims follow, 10 a second with a deadline in 10 s
    Then fewer than 1600 claims are kept

  Scenario: A log outage refuses non-idempotent work at once and nothing else
    Given two entry hosts that share a log
    And the log is down for them
    When an idempotent and a non-idempotent request are sent
    Then the idempotent one is answered
    And the other is told claim_unavailable within 0.5 s, with a retry delay
