@requests
Feature: A fault between an entry host and an endpoint never causes a wrong answer

  @invariant_whole_answer @invariant_not_run @invariant_at_most_once
  Scenario Outline: The near endpoint <fault>, idempotent: <idempotent>
    Given the near endpoint <fault>
    When a request with idempotent <idempotent> is sent
    Then its outcome is <outcome> with <reason>
    And it ran <near> times at the near endpoint and <far> at the far one
    And the request is no longer in flight

    Examples:
      | fault                      | idempotent | outcome  | reason      | near | far |
      | is down                    | true       | answered | 200         | 0    | 1   |
      | is down                    | false      | answered | 200         | 0    | 1   |
      | refuses                    | true       | answered | 200         | 0    | 1   |
      | refuses                    | false      | answered | 200         | 0    | 1   |
      | says that it leaves        | true       | answered | 200         | 0    | 1   |
      | says that it leaves        | false      | answered | 200         | 0    | 1   |
      | answers an error at once   | true       | answered | 500         | 1    | 0   |
      | answers an error at once   | false      | answered | 500         | 1    | 0   |
      | breaks off before running  | true       | answered | 200         | 0    | 1   |
      | breaks off before running  | false      | unknown  | answer_lost | 0    | 0   |
      | breaks off after running   | true       | answered | 200         | 1    | 1   |
      | breaks off after running   | false      | unknown  | answer_lost | 1    | 0   |
      | truncates its answer       | true       | answered | 200         | 1    | 1   |
      | truncates its answer       | false      | unknown  | answer_lost | 1    | 0   |
      | tells no length            | true       | answered | 200         | 1    | 1   |
      | tells no length            | false      | unknown  | answer_lost | 1    | 0   |
      | answers another request    | true       | answered | 200         | 1    | 1   |
      | answers another request    | false      | unknown  | answer_lost | 1    | 0   |
      | answers too much           | true       | answered | 200         | 1    | 1   |
      | answers too much           | false      | unknown  | answer_lost | 1    | 0   |
      | answers too much in chunks | true       | answered | 200         | 1    | 1   |
      | answers too much in chunks | false      | unknown  | answer_lost | 1    | 0   |
      | stops half way             | true       | answered | 200         | 1    | 1   |
      | stops half way             | false      | unknown  | answer_lost | 1    | 0   |
      | redirects                  | true       | answered | 307         | 1    | 0   |
      | redirects                  | false      | answered | 307         | 1    | 0   |
      | never answers              | true       | unknown  | answer_late | 0    | 0   |
      | never answers              | false      | unknown  | answer_late | 0    | 0   |
      | is slow                    | true       | unknown  | answer_late | 1    | 0   |
      | is slow                    | false      | unknown  | answer_late | 1    | 0   |

  @invariant_not_run
  Scenario Outline: Both endpoints <fault>, idempotent: <idempotent>
    Given both endpoints <fault>
    When a request with idempotent <idempotent> is sent
    Then its outcome is <outcome> with <reason>
    And it ran <near> times at the near endpoint and <far> at the far one

    Examples:
      | fault               | idempotent | outcome | reason           | near | far |
      | is down             | true       | not_run | no_endpoint      | 0    | 0   |
      | is down             | false      | not_run | no_endpoint      | 0    | 0   |
      | refuses             | true       | not_run | endpoint_refused | 0    | 0   |
      | refuses             | false      | not_run | endpoint_refused | 0    | 0   |
      | says that it leaves | false      | not_run | no_endpoint      | 0    | 0   |

  @invariant_not_run
  Scenario Outline: A request that crashes endpoints is passed on to no third one, idempotent: <idempotent>
    Given both endpoints crashes by the request
    When a request that crashes endpoints is sent <times> times, with idempotent <idempotent>
    Then 2 endpoints have crashed
    When both endpoints are up again
    And the request that crashes endpoints is sent again
    Then its outcome is <outcome> with <reason>
    When the content that crashes endpoints is sent in another request
    Then its outcome is not_run with request_quarantined
    And 2 endpoints have crashed
    When a request with idempotent true is sent
    Then its outcome is answered with 200

    Examples:
      | idempotent | times | outcome | reason            |
      | true       | 1     | unknown | endpoints_crashed |
      | false      | 2     | not_run | request_quarantined |

  Scenario: A request whose connections break is not taken for one that crashes endpoints
    Given both endpoints breaks off before running
    When a request with idempotent true is sent
    And both endpoints work again
    And a request with idempotent true is sent
    Then its outcome is answered with 200

  @invariant_whole_answer
  Scenario Outline: A connection is not used again after: <event>
    Given a connection to the near endpoint that has served
    When <event>
    Then the next request is answered over a new connection
    And the old connection is closed

    Examples:
      | event                                |
      | the caller of a request disconnects  |
      | an answer arrives past the deadline  |
      | an answer belongs to another request |

  Scenario: Connections that went silent are retired together
    Given 4 connections to the near endpoint that have served
    When its open connections stop responding while new ones work
    Then of 6 requests one after the other at most 1 is lost

  Scenario: New requests avoid an unresponsive connection before any deadline
    Given 4 connections to the near endpoint that have served
    When its open connections stop responding while new ones work
    Then a request sent while the first one waits is answered

  Scenario Outline: A burst of <count> cancellations leaves no request in flight, idempotent: <idempotent>
    Given both endpoints is slow
    When <count> requests with idempotent <idempotent> are sent and cancelled
    Then the requests are no longer in flight
    And only idempotent requests were cancelled at the endpoints: <idempotent>
    And the next request is answered

    Examples:
      | count | idempotent |
      | 60    | true       |
      | 6     | false      |

  Scenario: A request over the quota is refused with that reason
    Given two entry hosts and a quota of 4 requests in flight
    When 5 requests are sent at once
    Then 3 of them are told not_run with quota_exceeded

  @invariant_not_run
  Scenario: A request that waits in vain is told so before its deadline
    Given both endpoints never answers
    And unanswered requests occupy both endpoints
    When a request with a deadline in 0.3 s is sent and finds no room
    Then it is told overloaded before 0.35 s have passed

  Scenario: An endpoint granted to a cancelled request is released
    Given both endpoints is slow
    When a waiting request is cancelled as soon as it is granted an endpoint
    Then the request is no longer in flight

  Scenario: A request without room waits, or is refused at once if it can't wait
    Given both endpoints take 0.05 s and 1 at a time
    When 40 requests with a deadline in 0.6 s are sent at once
    Then each is answered in time or told not_run with overloaded
    And more than 5 are answered
    And the refused requests got a retry delay
