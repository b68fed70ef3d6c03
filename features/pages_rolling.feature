@pages
Feature: Daemons are rolled as OPERATING.md says

  @invariant_graceful_stop @invariant_config_in_force
  Scenario: Rolling every daemon under load loses nothing
    Given a running deployment with an applied fleet
    When callers go on while each daemon in turn is ended and started again
    Then every request is answered
    And no request was cut off or run twice
    And each daemon ended with code 0 and came back at revision 1
    And operators see the same daemons under new incarnations
