@pages
Feature: Daemons are rolled as OPERATIONS.md says

  @invariant_graceful_stop @invariant_config_in_force
  Scenario: Rolling every daemon under load loses nothing
    Given a running deployment whose requests outlast the grace of a stop
    When callers go on while each daemon in turn is ended and started again
    Then every request is answered
    And no request was cut off or run twice
    And each daemon ended with code 0 and came back at revision 1
    And operators see the same daemons under new incarnations

  @invariant_not_run
  Scenario: An entry host with nothing to vouch for sends callers elsewhere
    Given a running deployment without a fleet
    When a non-idempotent request is sent to "portal"
    Then it is told not_run
    And the reason is "not_ready", and to come back after 1 s
