@jobs
Feature: Runs that fail or are slow close no executors to other jobs

  What a failure says of its executor isn't known before the task has run
  elsewhere, and no judgement is a reason to leave jobs beside room.

  Scenario Outline: Hopeless jobs leave no ordinary job standing beside room: <share> of the jobs, <hosts> executors
    When jobs load <hosts> executors at <load> of their capacity, and <share> of the jobs always fail
    Then no ordinary job has stood beside room for 1.5 seconds
    And every ordinary job is done

    Examples:
      | hosts | load | share |
      | 1     | 0.2  | 0.3   |
      | 2     | 0.15 | 0.3   |
      | 3     | 0.15 | 0.3   |
      | 3     | 0.1  | 0.6   |

  Scenario: Hopeless jobs leave none standing beside an executor that fails all it starts
    When jobs load 6 executors at 0.3 of their capacity, 1 of which fails all, and 0.2 of the jobs always fail
    Then no ordinary job has stood beside room for 1.5 seconds
    And every ordinary job is done

  Scenario Outline: Executors on which no run tells progress leave no job standing beside room: tasks of <task_s> s
    When jobs with tasks of <task_s> seconds load 3 executors that tell no progress at 0.3 of their capacity
    Then no ordinary job has stood beside room for 1.5 seconds
    And every ordinary job is done

    Examples:
      | task_s |
      | 0.64   |
      | 3.0    |

  Scenario Outline: An executor that fails all it starts is avoided, <load> of the capacity
    When jobs load 6 executors at <load> of their capacity, 1 of which fails all, and 0 of the jobs always fail
    Then every ordinary job is done
    And at least 0.9 of the work in time is done that a pool without that executor does

    Examples:
      | load |
      | 0.3  |
      | 0.7  |
      | 1.2  |
