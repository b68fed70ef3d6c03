@jobs
Feature: What a decision of the scheduler costs

  The cost is the number of bytecode instructions that are executed, so that
  it depends neither on a clock nor on the host.

  Scenario Outline: The cost of a decision does not grow with other work: <decision>
    Given a small partition with 100 runs on 20 executors of other pools
    And a large partition with 1500 runs on 300 executors of other pools
    When in each of them <decision>
    Then the large partition costs less than 2 times the small one

    Examples:
      | decision                           |
      | a task ends                        |
      | a task of several copies ends      |
      | a task fails for the last time     |
      | a job is cancelled                 |
      | a job is accepted                  |
      | a cycle places one task            |
      | a cycle finds nothing to do        |
      | a cycle stops one run              |
      | a cycle paces one run              |
      | an unchanged poll is processed     |
      | the executors on a host are sought |
      | the ends to record are collected   |
      | the load of a pool is measured     |
      | a long-running task is displaced   |
      | a step awaits advice               |

  Scenario Outline: The cost of a step does not grow with the pool: <work>
    Given a pool of 20 executors and a pool of 300
    When each of them is given <few> and <many> <work>
    Then each further one costs the large pool less than 2 times the small one

    Examples:
      | work                           | few | many |
      | tasks of one step              | 20  | 60   |
      | steps of one task              | 20  | 60   |
      | steps that fit on no executor  | 20  | 60   |
      | steps limited per executor     | 20  | 60   |
      | gangs larger than the pool     | 20  | 60   |

  Scenario: The cost of the end of a task does not grow with its step
    Given a step of 100 tasks and a step of 1500, of which most are pending
    When a task of each of them ends
    Then the large step costs less than 2 times the small one

  Scenario: The cost of dropping a finished job does not grow with others
    Given 100 and 1500 finished jobs whose final state is not stored
    When the final state of one of them is stored, and it is dropped
    Then dropping it costs less than 2 times as much among many

  Scenario: A finished job is dropped once its final state is stored and no run of it is left
    Given a finished job with a run that has not ended
    When its final state is stored
    Then it is dropped once, after the run has ended
