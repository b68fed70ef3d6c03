@jobs
Feature: The scheduler by itself, without network, clock or daemon

  @invariant_at_most_once
  Scenario Outline: Work that was done counts, also when it is told late: <case>
    Given a task that runs on executor "a"
    When "a" is unreachable until its lease has run out
    And <then>
    And "a" tells that the run was done before its lease ran out
    Then the task is done, and nothing of it starts or goes on

    Examples:
      | case                         | then                   |
      | the task waits again         | the task waits again   |
      | the task runs somewhere else | the task starts on "b" |

  @invariant_at_most_once
  Scenario Outline: An answer ends the host's other lives: <case>
    Given executors "old" and then "new" on one host
    When "<name>" answers a look that was sent <when> "new" was entered
    Then the lives that this ends are "<ended>"

    Examples:
      | case                                   | name | when   | ended |
      | the newer one answers                  | new  | after  | old   |
      | the older one is at work after all     | old  | after  | new   |
      | the answer comes from before the other | old  | before |       |

  @invariant_at_most_once
  Scenario Outline: No order of answers, losses and takeovers breaks a promise
    When 100 random plays of seed <seed> are tried on the scheduler
    Then no play breaks a promise or leaves a job undone

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  @invariant_budget
  Scenario: What an earlier owner may just have stopped does not count as at work
    Given 3 lasting tasks that a new owner finds at work
    When one of them is to leave its executor
    Then 0 of the others count as at work
    When 1.1 seconds pass by
    Then 2 of the others count as at work
