@supervisor
Feature: A supervisor keeps its children running

  Scenario: A child that fails is started again
    Given a supervisor over a child that fails 2 times
    When it runs until the child works
    Then the child was started 3 times

  Scenario: A child that keeps failing goes up to the root
    Given a supervisor under another, over a child that fails 100 times
    When the root runs to its end
    Then the root fails with too_many_restarts

  Scenario: Children stop in the reverse of their order
    Given a supervisor over the children "first", "second" and "third"
    When it runs and is stopped
    Then they were stopped in the order "third second first"
