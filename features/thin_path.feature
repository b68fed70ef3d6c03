Feature: A running deployment keeps the invariants

  Scenario: Requests are answered while a host is rebooted
    Given a running deployment with an applied fleet
    When 300 requests are sent while host "pr-checker-h1" is rebooted
    Then every request is answered
    And no request was cut off or run twice

  @invariant_config_in_force
  Scenario: An accepted configuration is in force everywhere
    Given a running deployment with an applied fleet
    When an operator applies a changed quota and waits
    Then every daemon runs the same revision within 13 s

  @invariant_config_in_force
  Scenario: Of two operators who apply at once exactly one wins
    Given a running deployment with an applied fleet
    When 4 operators apply different files made from one revision
    Then exactly 1 of them is accepted and the others are told of a conflict

  @invariant_budget
  Scenario: A wave over a service never takes more than its budget
    Given a running deployment with an applied fleet
    When a wave reboots all hosts of "pr-checker" under load
    Then at no time was more than 1 of its hosts unavailable
    And no request was cut off or run twice

  @invariant_one_pool
  Scenario: A host moves between pools and is in one at any moment
    Given a running deployment with an applied fleet
    When a wave moves host "pr-checker-h1" to pool "portal-pool"
    Then every daemon has host "pr-checker-h1" in pool "portal-pool" only

  @invariant_whole_answer
  Scenario: An answer that breaks off is never passed on as whole
    Given a running deployment with an applied fleet
    And every endpoint of "portal" aborts its responses
    When a non-idempotent request is sent to "portal"
    Then it is told unknown

  @invariant_not_run
  Scenario: A request told not run did not run
    Given a running deployment with an applied fleet
    And the platform's log is down
    When a non-idempotent request is sent to "portal"
    Then it is told not_run within 3 s
    And the endpoints ran the request 0 times

  @invariant_at_most_once
  Scenario: A repeated non-idempotent request runs once
    Given a running deployment with an applied fleet
    When one non-idempotent request is sent to all daemons at once
    Then the endpoints ran the request 1 times

  @invariant_leaving
  Scenario: A leaving endpoint gets no new work
    Given a running deployment with an applied fleet
    When the platform begins to drain host "portal-h1"
    Then after 5 s host "portal-h1" gets no request of 200

  @invariant_graceful_stop
  Scenario: A daemon that is asked to end finishes what runs
    Given a running deployment with an applied fleet
    When daemon "entry-a1" is asked to stop while 200 requests run
    Then every request is answered
    And daemon "entry-a1" exited with code 0

  Scenario: A daemon starts no process and opens no io_uring
    Given a running deployment with an applied fleet
    Then no daemon has a child process or an io_uring descriptor
    And the resident memory of every daemon is printed
