@jobs
Feature: What keeps work waiting beside room is told

  Scenario Outline: The obstacle of a step that waits beside room is named: <obstacle>
    Given four executors with room for 16 tasks
    And a job of 4 tasks <case>
    When the scheduler looks for work that stands
    Then it finds 4 tasks that wait for <obstacle>

    Examples:
      | case                                      | obstacle             |
      | whose starts are rejected                 | rejected_starts      |
      | beside executors that are suspended       | executors_closed     |
      | beside late work that is held back        | held_late_work       |
      | without a start that is left              | start_limit          |
      | whose cancellations aren't read           | unread_cancellations |
      | whose starts aren't answered              | start_unanswered     |
      | whose plan isn't stored                   | not_stored           |
      | that a former owner may have started      | inherited            |
      | of which no step is known                 | no_step              |

  Scenario Outline: A job doesn't stand that <case>
    Given four executors with room for 16 tasks
    And a job of 4 tasks that <case>
    When the scheduler looks for work that stands
    Then it finds none

    Examples:
      | case                        |
      | runs                        |
      | waits for a pool half in use |
      | is cancelled                |

  Scenario: An owner logs what stands, and by how much its loop is late
    Given four executors with room for 16 tasks
    And a job of 4 tasks beside executors that are suspended
    When its owner's log of standing work goes on, and its loop is blocked for 1.5 seconds
    Then the log tells the job, its obstacle, all such steps and the delay
