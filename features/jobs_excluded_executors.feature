@jobs
Feature: Work starts on an executor as soon as it is open again

  Only pools that something has marked are planned in a cycle. What ends the
  exclusion of an executor marks its pool, so that no work has to wait for the
  executor's next heartbeat.

  Scenario: A suspension that ends by time keeps no work waiting for longer
    Given a scheduler with executors "x0"
    When "x0" is suspended for 1 s
    And a job "a" of 1 task is added
    Then nothing starts for 0.9 s, and no pool is planned meanwhile
    And "a" starts within 0.2 s

  Scenario: A hold for a suspect that ends by time keeps no work waiting for longer
    Given a scheduler with executors "x0"
    When "x0" is held for a suspect for 1 s
    And a job "a" of 1 task is added
    Then nothing starts for 0.9 s
    And "a" starts within 0.2 s

  Scenario: The longer of two exclusions is waited for
    Given a scheduler with executors "x0"
    When "x0" is suspended for 0.5 s
    And "x0" is held for a suspect for 1 s
    And a job "a" of 1 task is added
    Then nothing starts for 0.9 s
    And "a" starts within 0.2 s

  Scenario: A new owner starts work beside runs that it finds at an executor's first poll
    Given a scheduler without executors
    When a job "a" of 1 task is added
    And "x0" is added, on which a predecessor has started a task
    Then nothing starts for 0.9 s
    When "x0" answers a poll that lists its runs
    Then "a" starts within 0.2 s

  Scenario: Work starts on a host again that an order was withdrawn from
    Given a scheduler with executors "x0"
    When the host of "x0" is reserved for an order
    And a job "a" of 1 task is added
    Then nothing starts for 0.9 s
    When the host of "x0" is reserved no longer
    Then "a" starts within 0.2 s

  Scenario: Long-running tasks start on a host again that isn't emptied after all
    Given a scheduler with executors "x0, x1"
    When each runs a long-running task, and the host of "x0" is being emptied
    And "x1" is full, and a job "a" of 1 long-running task is added
    Then nothing starts for 0.2 s
    When the pool needs all its hosts again
    Then "a" starts within 0.2 s
