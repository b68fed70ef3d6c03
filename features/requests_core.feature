@requests
Feature: Requests are routed, limited, queued and retried without I/O

  @invariant_leaving
  Scenario Outline: Own zone first, and never to an endpoint that leaves: <condition>
    Given endpoints "a1 a2" in zone "a" and "b1 b2" in zone "b"
    And the condition: <condition>
    When 200 requests are routed one at a time in zone "a"
    Then they went to "<endpoints>"

    Examples:
      | condition                                       | endpoints |
      | nothing special                                 | a1 a2     |
      | a1 is full                                      | a2        |
      | a1 a2 are full                                  | b1 b2     |
      | a1 is reported down                             | a2        |
      | a1 a2 are reported down                         | b1 b2     |
      | a1 a2 b1 b2 are reported down                   | a1 a2     |
      | a1 a2 b1 b2 are not in the host list            | a1 a2     |
      | a1 is marked leaving in the host list           | a2        |
      | a1 is under maintenance                         | a2        |
      | a1 announces its shutdown and a2 is full        | b1 b2     |
      | a1 answers slowly                               | a2        |
      | a1 fails three times in a row                   | a2        |
      | a1 a2 b1 b2 fail three times in a row           | a1 a2     |
      | a1 refuses                                      | a2        |
      | a1 a2 b1 b2 are under maintenance               | nowhere   |
      | a1 a2 b1 b2 are marked leaving in the host list | nowhere   |
      | a1 leaves and a2 b1 b2 are reported down        | a2        |

  Scenario Outline: An endpoint that stopped answering gets no more: <silent_s> s
    Given endpoints "a1 a2" in zone "a" and "b1 b2" in zone "b"
    And the condition: a2 is full
    And a1 has a request without answer for <silent_s> s
    When 200 requests are routed one at a time in zone "a"
    Then they went to "<endpoints>"

    Examples:
      | silent_s | endpoints |
      | 0        | a1        |
      | 5        | b1 b2     |

  Scenario: A quarantined endpoint is readmitted by one probe at a time
    Given endpoints "a1 a2" in zone "a" and "b1 b2" in zone "b"
    And the condition: a1 fails three times in a row
    When its quarantine is over
    Then a1 has room for 1 request
    When the probe fails
    Then the quarantine is at least 1.5 s long
    When its quarantine is over
    And the probe succeeds until its probation ends
    Then a1 has room for 2 requests

  Scenario Outline: The limit of an endpoint: <events>
    Given a concurrency limit with a ceiling of 7
    When it records <events>
    Then the limit is at least <least> and at most <most>

    Examples:
      | events                                   | least | most |
      | nothing                                  | 1     | 1    |
      | 100 answers under full use               | 7     | 7    |
      | 100 answers under little use             | 1     | 1.5  |
      | 1 refusal at 7                           | 4.8   | 5    |
      | 10 refusals at 7 at once                 | 4.8   | 5    |
      | 50 refusals at 7 one by one              | 1     | 1    |
      | 25 answers with 4 times the latency at 7 | 1     | 3    |

  @invariant_not_run
  Scenario Outline: A request that can't be served in time is refused at once: <case>
    Given a queue with room for 4 and requests that take 0.1 s
    And <waiting> interactive requests wait in it
    When an interactive request with a deadline in <deadline_s> s arrives
    Then it is <verdict>

    Examples:
      | case             | waiting | deadline_s | verdict                           |
      | empty queue      | 0       | 1.0        | admitted                          |
      | short queue      | 8       | 1.0        | admitted                          |
      | no time for work | 0       | 0.15       | refused, with a retry after 0.1 s |
      | no time to wait  | 40      | 1.0        | refused, with a retry after 1.0 s |
      | full             | 256     | 60.0       | refused, with a retry after 6.4 s |

  Scenario Outline: Interactive work starts first, with a share for long work: <case>
    Given a queue with room for 10 and requests that take 0.1 s
    And <interactive> interactive and <long> long requests run
    And interactive and long requests wait, the last interactive one arrived <ago_s> s ago
    Then the next to start is <next>

    Examples:
      | case                   | interactive | long | ago_s | next        |
      | long below its minimum | 8           | 1    | 0     | long        |
      | long at its minimum    | 8           | 2    | 0     | interactive |

  Scenario Outline: Long work leaves room for interactive work: <case>
    Given a queue with room for 10 and requests that take 0.1 s
    And 0 interactive and <long> long requests run
    And only long requests wait, the last interactive one arrived <ago_s> s ago
    Then the next to start is <next>

    Examples:
      | case                       | long | ago_s | next    |
      | below its maximum          | 6    | 1     | long    |
      | at its maximum             | 7    | 1     | nothing |
      | no recent interactive work | 9    | 60    | long    |

  Scenario Outline: A quota is shared by the entry hosts
    Given a quota of <quota> requests and <hosts> entry hosts
    Then each entry host admits <share> requests and refuses the next

    Examples:
      | quota | hosts | share |
      | 100   | 8     | 12    |
      | 9     | 9     | 1     |
      | 3     | 9     | 1     |
      | 10    | 0     | 10    |

  @invariant_at_most_once
  Scenario Outline: A try is followed by another only where that is safe: <failure>
    When a request fails with <failure>
    Then an idempotent one is retried: <idempotent>
    And a non-idempotent one is retried: <other>

    Examples:
      | failure         | idempotent | other |
      | NoEndpoint      | yes        | yes   |
      | EndpointRefused | yes        | yes   |
      | EndpointLeaving | yes        | yes   |
      | AnswerLost      | yes        | no    |
      | AnswerLate      | no         | no    |
      | Overloaded      | no         | no    |
      | DeadlinePassed  | no         | no    |
      | AlreadyClaimed  | no         | no    |

  Scenario: Retries are limited to a tenth of the requests and an initial burst
    When 1000 requests all fail with AnswerLost
    Then at most 120 retries are made

  Scenario Outline: Load and faults in virtual time: <case>
    When <load> times the capacity is offered to the daemon with <fault>
    Then at least <success> of the requests that fit are answered in time
    And at most <share> of the requests are sent to the faulty endpoints

    Examples:
      | case         | load | fault                | success | share |
      | half load    | 0.5  | no fault             | 0.999   | 1     |
      | near full    | 0.9  | no fault             | 0.99    | 1     |
      | five times   | 5    | no fault             | 0.9     | 1     |
      | fast failure | 0.5  | one endpoint failing | 0.975   | 0.02  |
      | frozen       | 0.5  | one endpoint frozen  | 0.98    | 0.02  |
      | a zone lost  | 0.5  | a zone gone          | 0.999   | 0.05  |
