@jobs
Feature: What a queue promised to a job outlives the queue and the owner

  Scenario Outline: A task of a removed queue is tried <attempts> times, also by a successor
    Given a job accepted by a queue of <attempts> attempts
    When the queue is removed, and a successor takes over
    And its task fails each time that it runs
    Then it has run <attempts> times, and its job has failed

    Examples:
      | attempts |
      | 2        |
      | 4        |

  Scenario: A job of a removed queue has the order that the queue promised
    Given a job accepted by a queue of priority 5, stretch 2 and a target of 7 seconds
    When the queue is removed, and a successor takes over
    Then its step has priority 5, and is due 9 seconds after it was accepted

  Scenario: A step of a removed queue is advised after a takeover, and starts with a ticket
    Given simulated daemons with seed 931, and a service that answers in 0.03 seconds
    When 5 jobs of two steps are submitted to an advised queue
    And their queue is removed, and the owner is killed
    And 12 seconds pass
    Then all of them are completed
    And each of their tasks was started with a ticket

  Scenario: Jobs that were stored without the terms of their queue are read
    Given a record of a job of an earlier version
    When the queue is removed, and a successor takes over
    Then its step has priority 0, and is due 2 seconds after it was accepted

  Scenario: A queue that is in force goes before what it promised
    Given a job accepted by a queue of 2 attempts
    When the queue gets 3 attempts, and a successor takes over
    And its task fails each time that it runs
    Then it has run 3 times, and its job has failed
