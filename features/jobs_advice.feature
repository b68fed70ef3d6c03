@jobs
Feature: Advice on executors is requested for each step in its turn

  The service for advice answers one call at a time. A step that it keeps
  waiting keeps no other step waiting.

  Scenario Outline: Jobs that no executor may run keep no others waiting: <hopeless> of them, seed <seed>
    Given simulated daemons with seed <seed>, and a service that answers in 0.03 seconds
    And that service permits no executor for jobs named "hopeless"
    When <hopeless> jobs named "hopeless" are submitted
    And 0.5 seconds pass
    And 10 jobs named "sound" are submitted
    Then each job named "sound" has begun within 3 seconds
    And 6 seconds after that each of them is completed
    And no job named "hopeless" has begun
    And no executor was asked about twice that may not run a step

    Examples:
      | hopeless | seed |
      | 1        | 921  |
      | 20       | 922  |

  Scenario Outline: A step on which the service never answers keeps no others waiting: <count> of them
    Given simulated daemons with seed 923, and a service that answers in 0.03 seconds
    And that service answers no call on jobs named "silent"
    When <count> jobs named "silent" are submitted
    And 0.5 seconds pass
    And 10 jobs named "sound" are submitted
    Then each job named "sound" has begun within 3 seconds
    When the service answers all calls
    And 25 seconds pass
    Then each job named "silent" is completed

    Examples:
      | count |
      | 1     |
      | 40    |

  Scenario Outline: Steps go on soon after the service answers again: <count> of them
    Given simulated daemons with seed 925, and a service that answers in 0.03 seconds
    And that service answers no call on jobs named "silent"
    When <count> jobs named "silent" are submitted
    And 45 seconds pass
    And the service answers all calls
    Then each job named "silent" has begun within 7 seconds

    Examples:
      | count |
      | 1     |
      | 12    |

  Scenario Outline: Each executor of a pool is asked about in time: <permitted> of <size> may run a step
    Given a pool of <size> executors, the last <permitted> of which may run each step
    When 5 jobs wait for advice
    Then each of them has a ticket after <calls> calls or fewer
    And no executor was asked about more than once for a step

    Examples:
      | size | permitted | calls |
      | 36   | 3         | 10    |
      | 300  | 3         | 50    |
      | 1000 | 1         | 170   |

  Scenario: A step without permitted executors is asked about again when one is added
    Given a pool of 36 executors, the last 0 of which may run each step
    When 1 jobs wait for advice
    Then no call is made after 2 calls
    When an executor is added that may run each step
    Then each of them has a ticket after 3 calls or fewer

  Scenario: A step without permitted executors is asked about again when its queue gets another pool
    Given a pool of 36 executors, the last 0 of which may run each step
    And another pool with an executor that may run each step
    When an executor is added that may run no step
    And 1 jobs wait for advice
    Then no call is made after 2 calls
    When their queue gets the other pool
    Then each of them has a ticket after 3 calls or fewer

  Scenario: A step is asked about others when those that may run it are full
    Given a pool of 36 executors, the last 36 of which may run each step
    And the executors that are asked about first are full of other work
    When 1 jobs wait for advice
    Then a task of it starts after 2 calls or fewer

  Scenario: No start is sent with a ticket that expired while its cycle was stored
    Given simulated daemons with seed 924, and a service that answers in 0.03 seconds
    And tickets of that service are valid for 1 second
    When 4 jobs named "sound" are submitted
    And the store takes 1.2 seconds for an append
    And 0.5 seconds pass
    And the store takes 0 seconds for an append
    And 8 seconds pass
    Then each job named "sound" is completed
    And no start was sent with an expired ticket

  Scenario: Tickets that have expired are requested again
    Given a pool of 36 executors, the last 2 of which may run each step
    When 1 jobs wait for advice
    Then each of them has a ticket after 2 calls or fewer
    When the tickets expire
    Then each of them has a ticket after 3 calls or fewer

  Scenario: What is known of advice on a job is forgotten with the job
    Given a pool of 36 executors, the last 36 of which may run each step
    When 5 jobs wait for advice, and are completed
    And one more is cancelled while it is asked about
    Then nothing is known of advice on them
