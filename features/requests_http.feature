@requests
Feature: Whatever a caller sends gets a typed answer and harms nobody else

  Scenario: Hostile requests are told what is wrong
    Given an entry host that serves callers
    Then each of these is told not_run and leaves others served
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
      | an id of 300 letters          | 400    | bad_request       |
      | a body over the limit         | 413    | too_large         |
      | a chunked body over the limit | 413    | too_large         |
      | a header of 100 kB            | 413    | too_large         |
      | not HTTP at all               | 400    | bad_request       |
      | a bad length                  | 400    | bad_request       |
      | the path of operators         | 404    | bad_request       |
      | the path of peers             | 404    | bad_request       |
      | the wrong method              | 405    | bad_request       |
      | a body that stops coming      | 408    | too_slow          |
      | a head that stops coming      | 408    | bad_request       |

  Scenario: The bodies of all callers together are bounded
    Given an entry host that serves callers
    When two callers have sent 9000 bytes of a larger body each
    Then a request with 9000 bytes is told overloaded
    And a request is answered
    When those two have been told too_slow
    Then a request with 9000 bytes is answered

  Scenario: Connections over the limit are told so
    Given an entry host that serves 3 connections of callers
    When 3 idle connections are open
    Then one more is told too_many_connections
    When one of them closes
    Then a request is answered

  Scenario Outline: A caller that vanishes ends idempotent work only: <idempotent>
    Given an entry host that serves callers
    When a caller sends a request with idempotent <idempotent> and vanishes
    Then the work at the endpoint is <work>

    Examples:
      | idempotent | work       |
      | true       | broken off |
      | false      | finished   |

  Scenario: Operators' interface doesn't serve callers
    Given an entry host that serves operators
    Then a caller's request there is told 404
