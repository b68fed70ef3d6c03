@jobs
Feature: Work goes on at once when the store answers again

  The store answers nothing, or refuses all calls, for some seconds. Jobs of
  three steps have begun before.

  Scenario Outline: Tasks start at once when the store is back: <kind> for <away_s> s, seed <seed>
    Given 9 simulated daemons with seed <seed>, whose submissions have 16 partitions
    When 20 jobs of three steps are submitted
    And the store <kind> for <away_s> seconds
    Then a task starts within 0.3 seconds of its return
    And every daemon reads statuses within 0.3 seconds of its return
    And there was a single owner throughout
    And no invariant was violated

    Examples:
      | kind            | away_s | seed |
      | is silent       | 4.2    | 401  |
      | is silent       | 5.0    | 402  |
      | is silent       | 6.3    | 403  |
      | refuses calls   | 4.2    | 401  |
      | refuses calls   | 5.0    | 402  |

  Scenario: Jobs aren't refused because nobody could read the store before
    Given 9 simulated daemons with seed 404, whose submissions have 16 partitions
    When 20 jobs of three steps are submitted
    And the store is silent for 7 seconds
    Then a job that comes 0.4 seconds after its return is accepted

  Scenario: An owner that doesn't read submissions still makes daemons refuse
    Given 9 simulated daemons with seed 405, whose submissions have 16 partitions
    When 20 jobs of three steps are submitted
    And the owner can't read a partition of the submissions for 6 seconds
    Then a job of that partition that comes then is refused as not_ready
    And a job of another partition that comes then is accepted
    When the owner can't read any partition of the submissions for 6 seconds
    Then a job of another partition that comes then is refused as not_ready

  Scenario Outline: One of many daemons takes over at once beside a slow store, seed <seed>
    Given 9 simulated daemons with seed <seed>, whose submissions have 16 partitions
    When 20 jobs of three steps are submitted
    And each append takes 0.02 s and each read 0.3 s
    And the owner is stopped gracefully
    Then another daemon is at work within 1.2 seconds
    And it is the only one that has claimed since
    And no invariant was violated

    Examples:
      | seed |
      | 431  |
      | 432  |
      | 433  |
      | 434  |
      | 435  |
      | 436  |

  Scenario Outline: A store whose reads take <read_s> s is no reason to refuse a job
    Given 9 simulated daemons with seed 441, whose submissions have 16 partitions
    When each append takes 0.01 s and each read <read_s> s
    And 20 jobs a second arrive for 6 seconds
    Then at least 1.0 of them were accepted within 1 seconds

    Examples:
      | read_s |
      | 0.25   |
      | 0.4    |
      | 0.7    |
