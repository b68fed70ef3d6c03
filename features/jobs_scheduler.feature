@jobs
Feature: The scheduler in isolation, without a network, clock or daemon

  @invariant_at_most_once
  Scenario Outline: A completed run counts even if it is reported late: <case>
    Given a task that runs on executor "a"
    When "a" is unreachable until its lease expires
    And <then>
    And "a" reports that the run completed before the lease expired
    Then the task is done, and no run of it starts or continues

    Examples:
      | case                      | then                      |
      | the task is pending again | the task is pending again |
      | the task runs elsewhere   | the task starts on "b"    |

  @invariant_at_most_once
  Scenario Outline: A poll response ends other incarnations on the host: <case>
    Given executors "old" and then "new" on one host
    When "<name>" answers a poll sent <when> "new" was registered
    Then the incarnations that this ends are "<ended>"

    Examples:
      | case                            | name | when   | ended |
      | the newer one answers           | new  | after  | old   |
      | the older one is still running  | old  | after  | new   |
      | the poll precedes the newer one | old  | before |       |

  @invariant_at_most_once
  Scenario Outline: No order of responses, losses and takeovers violates an invariant
    When 100 random action sequences of seed <seed> run on the scheduler
    Then no sequence violates an invariant or leaves a job undone

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  @invariant_budget
  Scenario: A task that a previous owner may have stopped does not count as serving
    Given 3 long-running tasks that a new owner finds running
    When one of them is to be moved off its executor
    Then 0 of the others count as serving
    When the clock advances by 1.1 seconds
    Then 2 of the others count as serving

  @invariant_budget
  Scenario: A task on an executor that answers no polls does not count as serving
    Given 3 long-running tasks that a new owner finds running
    When one of them is to be moved off its executor
    And the clock advances by 1.1 seconds
    Then 2 of the others count as serving
    When the clock advances by 2 seconds
    Then 0 of the others count as serving
    When their executor answers a poll again
    Then 2 of the others count as serving

  @invariant_budget @invariant_at_most_once
  Scenario Outline: A run whose start was not answered is stopped only if it isn't listed: <case>
    Given a long-running task whose start on executor "a" was not answered
    When 0.3 seconds pass without an answer
    And "a" answers <poll>
    Then the run is <verdict>

    Examples:
      | case                     | poll                         | verdict |
      | nothing is heard         | no poll                      | kept    |
      | it runs                  | a poll that lists it         | kept    |
      | it doesn't run so far    | a poll that omits it         | stopped |
      | the poll was sent before | an earlier poll without it   | kept    |
