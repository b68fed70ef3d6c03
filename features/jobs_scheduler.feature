@jobs
Feature: The scheduler's books, without network, clock or daemon

  @invariant_at_most_once
  Scenario Outline: Work that was done counts, also when it is told late: <case>
    Given a task that runs on executor "a", of "a" and "b"
    When "a" is unreachable until its lease has run out
    And <then>
    And "a" tells that the run was done before its lease ran out
    Then the task is done, and nothing of it starts or goes on

    Examples:
      | case                        | then                    |
      | the task waits again        | nothing starts          |
      | the task runs somewhere else | the task starts on "b" |

  @invariant_at_most_once
  Scenario Outline: No order of answers, losses and takeovers breaks a promise
    When 100 random plays of seed <seed> are tried on the scheduler
    Then no play breaks a promise or leaves a job undone

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
