@supervisor
Feature: A supervisor keeps its children running

  Scenario: A child that fails is restarted
    Given a supervisor over a child that fails 2 times
    When it runs until the child works
    Then the child was started 3 times

  Scenario: Repeated failures of a child are escalated to the root supervisor
    Given a nested supervisor over a child that fails 100 times
    When the root supervisor runs until it fails
    Then the root supervisor fails with too_many_restarts

  Scenario: Children are stopped in reverse order
    Given a supervisor over the children "first", "second" and "third"
    When it runs and is stopped
    Then they were stopped in the order "third second first"

  Scenario: A child whose cancellation is lost is stopped all the same
    Given a supervisor over a child that loses its first cancellation
    When it runs and is stopped
    Then it has ended within 2 seconds
