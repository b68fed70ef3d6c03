@jobs
Feature: An owner's term, from its claim to its end

  Scenario: The owner stores nothing more about jobs that have ended
    Given simulated daemons with seed 301
    When 20 jobs of 1 and 1 tasks are submitted
    And 8 seconds pass
    And 2 seconds pass
    When the end of the partition of the jobs is noted
    And 5 seconds pass
    Then nothing was appended to the partition of the jobs

  Scenario: A daemon that loses the ownership while it releases may claim again
    Given simulated daemons with seed 302
    When 3 seconds pass
    And the owner accepts an offer while an order to a host is unanswered
    And another daemon claims, and the order is answered 0.3 seconds later
    And 5 seconds pass
    Then no daemon still holds a lost ownership

  Scenario: An owner that is loading hands over to a stronger daemon at once
    Given a weak daemon that claims a partition of 1200 jobs over a narrow link
    When two strong daemons start
    Then a strong daemon is at work within 5 seconds

  @invariant_not_run
  Scenario: An owner that can't read the jobs starts nothing, and gives up
    Given simulated daemons with seed 303
    When 3 seconds pass
    And job "a" of 16 consecutive tasks is submitted to a daemon without ownership
    And 1 seconds pass
    And the owner can't read the partition of the jobs
    And 1 seconds pass
    And job "b" of 1 consecutive tasks is submitted to a daemon without ownership
    And 2.5 seconds pass
    Then no run has been planned for 1.9 seconds
    When 16 seconds pass
    Then job "a" is reported as completed by every daemon
    And job "b" is reported as completed by every daemon

  Scenario: A cancellation of a dropped job that a new owner finds is deleted
    Given simulated daemons with seed 304
    When job "a" of 1 and 1 tasks is submitted to daemon 0
    And 6 seconds pass
    And the owner is killed
    And a late copy of the cancellation of "a" is stored
    And 8 seconds pass
    Then the partition of the jobs holds nothing of "a"
    And job "a" is reported as completed by every daemon

  Scenario: Many callers that ask for an unknown job share reads of the store
    Given simulated daemons with seed 305
    When 3 seconds pass
    And 300 callers ask a daemon for unknown jobs at once
    Then each was told that there is no such job
    And at most 3 reads were sent for them

  Scenario: What one append stores crosses a narrow link in a fraction of its timeout
    Given simulated daemons with seed 306
    And every daemon behind a link of 610000 bytes a second
    When 100 jobs with 4000 bytes of payload are submitted to one daemon at once
    And 8 seconds pass
    Then each of them was accepted within 1.2 seconds
    And at most 20 appends were sent for them

  Scenario Outline: An unexpected error in <part> ends neither an owner nor a daemon
    Given simulated daemons with seed 31
    When <part> raises an unexpected error for 4 seconds
    And 5 jobs of 3 and 2 tasks are submitted
    And 12 seconds pass
    Then every job is reported as completed
    And the first owner is still at work
    And the error was logged

    Examples:
      | part                           |
      | each poll of one executor      |
      | each list of hosts             |
      | each entry of one executor     |
      | the record of an odd key       |
