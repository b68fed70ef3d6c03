@jobs
Feature: What callers are told of a submission agrees with what runs

  A submission may be stored though its answer is lost. A refusal tells that it
  never runs, so none is given while any attempt may have stored it.

  @invariant_not_run
  Scenario: A refusal by another daemon hides no submission that was stored
    Given 3 simulated daemons that pass calls on, with seed 441
    And the owner reads submissions 2 seconds late
    And pool "web" is overloaded for all daemons but the first
    When the answers of the store to the first daemon are lost
    And job "a" is submitted to the first daemon
    Then the call isn't told as not run
    When 8 seconds pass
    Then job "a" has run

  @invariant_not_run
  Scenario: A refusal that arrives before the append was sent stops the append
    Given 3 simulated daemons that pass calls on, with seed 442
    And pool "web" is overloaded for all daemons but the first
    And an append of the first daemon is under way in each partition
    When the answers of the store to the first daemon are lost
    And job "a" is submitted to the first daemon
    Then the call is refused as pool_overloaded
    When the answers of the store to the first daemon arrive again
    And 12 seconds pass
    Then job "a" has not run

  @invariant_not_run
  Scenario: A refusal by a second daemon hides no submission that the first took
    Given 3 simulated daemons that pass calls on, with seed 443
    When the store turns away 1 of the daemons
    And the daemon that is asked first takes a call without an answer
    And pool "web" is overloaded for the daemon that is asked next
    And job "a" is submitted to the first daemon
    Then the call isn't told as not run
    When 8 seconds pass
    Then job "a" has run

  @invariant_not_run
  Scenario: A daemon that returns a lost answer hides no submission from others
    Given 3 simulated daemons that pass calls on, with seed 444
    When the store turns away 1 of the daemons
    And the daemon that is asked first tells that an answer was lost
    And job "a" is submitted to the first daemon
    Then the call is accepted

  @invariant_not_run
  Scenario Outline: A repeated call isn't refused for the load once it is stored: <where>
    Given 3 simulated daemons that pass calls on, with seed 445
    And the owner reads submissions <delay> seconds late
    When the answers of the store to the first daemon are lost
    And the other daemons leave all calls unanswered
    And job "a" is submitted to the first daemon
    Then the call isn't told as not run
    When pool "web" is overloaded for all daemons
    And the answers of the store to the first daemon arrive again
    And job "a" is submitted to <where>
    Then the call is accepted

    Examples:
      | where            | delay |
      | the first daemon | 8     |
      | another daemon   | 3     |

  @invariant_not_run
  Scenario Outline: A repeated call isn't refused while its job may wait unread: <reads>
    Given 3 simulated daemons that pass calls on, with seed 446
    And the owner reads submissions 60 seconds late
    When the answers of the store to the first daemon are lost
    And the other daemons leave all calls unanswered
    And job "a" is submitted to the first daemon
    Then the call isn't told as not run
    When pool "web" is overloaded for all daemons
    And another daemon reads <reads>
    And job "a" is submitted to that daemon
    Then the call is answered with <answer> within 0.4 seconds

    Examples:
      | reads             | answer |
      | all submissions   | 200    |
      | no submissions    | 502    |

  Scenario: A job that was not submitted before is refused at once
    Given 3 simulated daemons that pass calls on, with seed 449
    And the owner reads submissions 60 seconds late
    When pool "web" is overloaded for all daemons
    And job "a" is submitted to the first daemon
    Then the call is answered with 429 within 0.1 seconds

  @invariant_not_run
  Scenario Outline: A cancellation that may be stored isn't told as <answer>
    Given 3 simulated daemons that pass calls on, with seed 447
    And job "a" of a long-running task runs
    When the answers of the store to the first daemon are lost
    And the other daemons answer all calls with <answer>
    And job "a" is cancelled at the first daemon
    Then the call isn't told as not run
    When 6 seconds pass
    Then nothing of job "a" runs

    Examples:
      | answer |
      | 429    |
      | 404    |
      | 410    |

  @invariant_not_run
  Scenario: A state isn't told as unknown while a submission may be stored
    Given 3 simulated daemons that pass calls on, with seed 448
    When appends of the first daemon are carried out 5 seconds later
    And the other daemons leave all calls unanswered
    And job "a" is submitted to the first daemon
    Then the call isn't told as not run
    And the first daemon doesn't tell that job "a" doesn't exist
    When 10 seconds pass
    Then job "a" has run

  @search
  @invariant_not_run
  Scenario Outline: No answer is untrue beside random faults, seed <seed>
    When calls beside random faults of seed <seed> are compared with what ran
    Then no answer was untrue

    Examples:
      | seed |
      | 11   |
      | 14   |
      | 26   |
      | 27   |
      | 28   |
