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

  # Hosts on standby have no executors that tell what they have.
  Scenario Outline: A job goes on once a host is added that can run it, seed <seed>
    Given simulated daemons with seed <seed>
    When 3 jobs arrive that need the label "rare"
    And 12 seconds pass
    And 2 hosts with the label "rare" are added on standby
    And 25 seconds pass
    Then every job is reported as completed

    Examples:
      | seed |
      | 993  |
      | 994  |

  Scenario Outline: A job goes on once a larger host is added, seed <seed>
    Given simulated daemons with seed <seed>, and 1 hosts in each pool
    When 3 jobs arrive that need 64 cores for a task
    And 12 seconds pass
    And 2 hosts of 64 cores are added on standby
    And 25 seconds pass
    Then every job is reported as completed

    Examples:
      | seed |
      | 997  |
      | 998  |

  # A host that its pool does not have yet may be permitted to run it.
  Scenario Outline: A job goes on once a host is added that advice permits, seed <seed>
    Given simulated daemons with seed <seed>, and a service that answers in 0.03 seconds
    And that service permits executors with the label "rare" only
    When 3 jobs arrive that need advice
    And 12 seconds pass
    And 2 hosts with the label "rare" are added on standby
    And 25 seconds pass
    Then every job is reported as completed

    Examples:
      | seed |
      | 995  |
      | 996  |

  @search
  Scenario: Ordinary jobs go on beside hopeless ones of several kinds
    When simulations with hopeless jobs of seeds 1 to 6 run
    Then each ordinary job of each of them was completed in time
