@requests
Feature: Any input from a caller gets a typed answer and affects no other caller

  Scenario: Invalid requests are refused with a reason
    Given an entry host that serves callers
    Then each of these is answered not_run and other requests are still served
      | sent                          | status | reason            |
      | no workspace                  | 400    | bad_request       |
      | an unknown workspace          | 403    | unknown_workspace |
      | an unknown service            | 404    | unknown_service   |
      | a deadline of nan             | 400    | bad_request       |
      | a deadline of inf             | 400    | bad_request       |
      | a deadline of -1              | 504    | deadline_passed   |
      | a deadline of 1e300           | 400    | bad_request       |
      | a deadline of tomorrow        | 400    | bad_request       |
      | a deadline of 10^9 s          | 400    | bad_request       |
      | idempotent maybe              | 400    | bad_request       |
      | urgency extreme               | 400    | bad_request       |
      | an id of 300 characters       | 400    | bad_request       |
      | a body over the limit         | 413    | too_large         |
      | a chunked body over the limit | 413    | too_large         |
      | a header of 100 kB            | 413    | too_large         |
      | not HTTP at all               | 400    | bad_request       |
      | an invalid content length     | 400    | bad_request       |
      | the path of operators         | 404    | bad_request       |
      | the path of peers             | 404    | bad_request       |
      | the wrong method              | 405    | bad_request       |
      | an incomplete body            | 408    | too_slow          |
      | an incomplete head            | 408    | bad_request       |

  Scenario: The total size of the request bodies held in memory is bounded
    Given an entry host that serves callers
    When each of two callers has sent 9000 bytes of a larger body
    Then a request with 9000 bytes is told overloaded
    And a request is answered
    When those two callers have been told too_slow
    Then a request with 9000 bytes is answered

  Scenario: Connections over the limit are refused with a reason
    Given an entry host that serves 3 connections of callers
    When 3 idle connections are open
    Then one more is told too_many_connections
    When one of them closes
    Then a request is answered

  Scenario Outline: A caller that disconnects cancels idempotent work only: <idempotent>
    Given an entry host that serves callers
    When a caller sends a request with idempotent <idempotent> and disconnects
    Then the work at the endpoint is <work>

    Examples:
      | idempotent | work      |
      | true       | cancelled |
      | false      | finished  |

  Scenario: The operators' interface doesn't serve callers
    Given an entry host that serves operators
    Then a caller's request there is told 404
