@requests @invariant_at_most_once
Feature: A ticket runs a non-idempotent request at most once without the log

  Scenario Outline: With the log down, a repeat elsewhere after: <event>
    Given two entry hosts that share a log
    And the log is down for them
    And a ticket of the first entry host
    When a request with the ticket is sent to the <where> entry host, and <event>
    Then it is told: <first>
    When it is sent with the same ticket to the second entry host
    Then it is told: <second>
    And the request ran <runs> times

    Examples:
      | where  | event                                 | first                    | second                            | runs |
      | first  | it is answered                        | answered 200             | unknown already_claimed           | 1    |
      | second | it is answered                        | answered 200             | unknown already_claimed           | 1    |
      | first  | the endpoints refuse it               | not_run endpoint_refused | answered 200                      | 1    |
      | second | the endpoint breaks off after running | unknown answer_lost      | unknown already_claimed           | 1    |
      | first  | it is killed after it sent            | nothing                  | unknown ticket_holder_unreachable | 1    |
      | first  | it is killed before it sends          | nothing                  | unknown ticket_holder_unreachable | 0    |

  @invariant_graceful_stop
  Scenario: An entry host that ends waits for what it has forwarded
    Given two entry hosts that share a log
    And a ticket of the first entry host
    When the second forwards a request with the ticket and is stopped meanwhile
    Then it is told: answered 200
    And the second stopped after the answer

  Scenario Outline: A ticket that is <fault> runs nothing
    Given two entry hosts that share a log
    And a ticket of the first entry host
    When a request is sent with the ticket <fault>
    Then it is told: <told>
    And the request ran 0 times

    Examples:
      | fault              | told                              |
      | forged             | not_run bad_request               |
      | expired            | unknown ticket_expired            |
      | of an unknown host | unknown ticket_holder_unreachable |
      | malformed          | not_run bad_request               |

  Scenario: The tickets remembered are bounded and forgotten in time
    Given a ticket table
    When 30000 tickets are used, 10 a second
    Then at most 12100 are kept in memory
