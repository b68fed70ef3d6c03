@jobs
Feature: A job that can't be done keeps no ordinary job waiting

  Scenario Outline: Ordinary jobs go on beside jobs that <kind>
    Given simulated daemons with seed <seed>, and jobs that <kind>
    When 12 ordinary jobs of the same and of another queue arrive beside them
    Then each ordinary job has begun within 3 seconds
    And each ordinary job is completed within 12 seconds
    And no invariant was violated

    Examples:
      | seed | kind                            |
      | 981  | no executor is permitted to run |
      | 982  | the advice service ignores      |
      | 983  | fit on no host                  |
      | 984  | need a label that is absent     |
      | 985  | are gangs larger than the pool  |
      | 986  | fail each time                  |
      | 987  | declare a year                  |
      | 988  | declare nothing                 |
      | 989  | have 100 steps                  |
      | 990  | have many occurrences due       |
      | 991  | lack an executor for each task  |
      | 992  | belong to a removed queue       |

  @search
  Scenario: Ordinary jobs go on beside hopeless ones of several kinds
    When simulations with hopeless jobs of seeds 1 to 6 run
    Then each ordinary job of each of them was completed in time
