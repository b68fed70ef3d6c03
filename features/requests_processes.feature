@requests
Feature: Entry hosts that are killed, paused or terminated keep the invariants

  @invariant_at_most_once @invariant_not_run @invariant_graceful_stop
  Scenario: An entry host killed, one paused and one ended in the middle of requests
    Given a running deployment with slow endpoints and an applied fleet
    When "entry-a1" is killed while it runs a non-idempotent request
    Then the request repeated at "entry-b1" is told already_claimed
    And the endpoints ran that request 1 times
    When "entry-b1" is paused before it reads a request and resumed past its deadline
    Then the request repeated at "entry-c1" meanwhile is answered
    And the paused entry host answers not_run or unknown
    And the endpoints ran that request 1 times
    When "entry-c1" is terminated while it runs a non-idempotent request
    Then that request is answered
    And the entry host exited with code 0
    And the endpoints ran that request 1 times

  @invariant_at_most_once @invariant_not_run
  Scenario: With the log down, tickets go on serving non-idempotent work
    Given a running deployment with slow endpoints and an applied fleet
    And all entry hosts know each other
    When the platform's log stops and "entry-a1" issues a ticket
    Then a request with the ticket at "entry-b1" is told answered
    And a request with the ticket at "entry-c1" is told already_claimed
    And the endpoints ran that request 1 times
    And a request without a ticket at "entry-b1" is told claim_unavailable
    When "entry-a1" is killed
    Then a request with the ticket at "entry-c1" is told ticket_holder_unreachable
    And the endpoints ran that request 1 times

  @invariant_at_most_once
  Scenario: A ticket of an entry host that joined unseen runs nothing elsewhere
    Given a running deployment with slow endpoints and an applied fleet
    And "entry-a1" restarts while "entry-b1" is paused
    When the platform's log stops and "entry-a1" issues a ticket
    And "entry-b1" is resumed
    Then a request with the ticket at "entry-b1" is told ticket_holder_unreachable
    And the endpoints ran that request 0 times
