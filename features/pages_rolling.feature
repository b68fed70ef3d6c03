@pages
Feature: A rolling restart as described in OPERATIONS.md

  @invariant_graceful_stop @invariant_config_in_force
  Scenario: Rolling every daemon under load loses nothing
    Given a running deployment whose requests outlast the shutdown grace period
    When callers send requests while each daemon in turn is restarted
    Then every request is answered
    And no request was cut off or run twice
    And each daemon exited with code 0 and restarted at revision 1
    And the status lists the same daemons with new incarnations

  @invariant_not_run
  Scenario: An entry host with nothing to vouch for sends callers elsewhere
    Given a running deployment without a fleet
    When a non-idempotent request is sent to "portal"
    Then it is told not_run
    And the reason is "not_ready" and the retry delay is 1 s
