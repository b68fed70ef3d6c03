@jobs
Feature: Work goes on while some partitions of the store are away

  A partition of the store answers nothing, or refuses all calls, while the
  others answer. What needs it may wait; nothing else does.

  Scenario: The owner tells which partition its starts wait for
    Given 3 simulated daemons with seed 801, whose submissions have 16 partitions
    When 20 jobs of three steps are submitted
    And the partition of "the jobs" is silent for 1.5 seconds
    Then the owner told that it starts nothing, for the partition of "the jobs"

  Scenario: A daemon tells why it doesn't claim while the owner is silent
    Given 3 simulated daemons with seed 802, whose submissions have 16 partitions
    When the owner is killed
    And the partition of "the statuses" is silent for 3 seconds
    Then a daemon told why it withheld its claim

  Scenario Outline: Records read after a silence don't lengthen the owner's timeout, seed <seed>
    Given 3 simulated daemons with seed <seed>, whose submissions have 16 partitions
    When 20 jobs of three steps are submitted
    And the statuses can't be read for 5 seconds, and the owner dies at once
    Then a claim follows within 1.5 seconds of the return

    Examples:
      | seed |
      | 811  |
      | 812  |
      | 813  |

  Scenario Outline: A partition of submissions that <kind> holds up no other jobs
    Given 9 simulated daemons with seed <seed>, whose submissions have 16 partitions
    When 20 jobs a second arrive for 8 seconds, and from second 1 on the partition of "one of the submissions" <kind> for 5 seconds
    Then at least 0.9 of the jobs are accepted within 1 s
    And at least 0.9 are shown as completed within 3 s
    And during the outage no 0.8 s pass without a start
    And there was a single owner throughout
    And no invariant was violated

    Examples:
      | kind          | seed |
      | is silent     | 821  |
      | is silent     | 822  |
      | refuses calls | 823  |

  # A read that is unanswered when they return must not delay the next one.
  Scenario Outline: The entries of executors are read soon after they were away, seed <seed>
    Given 9 simulated daemons with seed <seed> and spare partitions
    When 20 jobs a second arrive for 9 seconds, and from second 1 on the partition of "the entries" <kind> for <away> seconds
    Then a task starts within 0.3 seconds of the return of the partitions
    And there was a single owner throughout
    And no invariant was violated

    Examples:
      | kind          | seed | away |
      | is silent     | 825  | 5    |
      | is silent     | 826  | 5    |
      | is silent     | 827  | 5    |
      | refuses calls | 828  | 5    |
      | is silent     | 831  | 4.9  |
      | is silent     | 832  | 4.95 |
      | is silent     | 833  | 5.05 |
      | is silent     | 834  | 5.1  |
      | is silent     | 835  | 5.15 |
      | is silent     | 836  | 5.2  |
      | is silent     | 837  | 5.25 |

  # Of 16 jobs one has all of its four partitions among half of them.
  @invariant_not_run
  Scenario Outline: Submissions go to other partitions while <which> <kind>
    Given 9 simulated daemons with seed <seed> and spare partitions
    When 20 jobs a second arrive for 8 seconds, and from second 1 on the partition of "<which>" <kind> for 5 seconds
    Then at least <accepted> of the jobs are accepted within 1 s
    And at least <shown> are shown as completed within 3 s
    And nothing is stored of the jobs that have ended
    And no invariant was violated

    Examples:
      | which                   | kind          | seed | accepted | shown |
      | one of the submissions  | is silent     | 831  | 0.99     | 0.95  |
      | half of the submissions | is silent     | 832  | 0.93     | 0.93  |
      | half of the submissions | is silent     | 833  | 0.93     | 0.93  |
      | half of the submissions | refuses calls | 834  | 0.93     | 0.93  |

  @invariant_at_most_once
  Scenario Outline: The owner's records go to another partition while that of the jobs <kind>, seed <seed>
    Given 9 simulated daemons with seed <seed> and spare partitions
    When 20 jobs a second arrive for 8 seconds, and from second 1 on the partition of "the jobs" <kind> for 5 seconds
    Then at least 0.99 of the jobs are accepted within 1 s
    And at least 0.95 are shown as completed within 3 s
    And during the outage no 0.8 s pass without a start
    And there was a single owner throughout
    And nothing is stored of the jobs that have ended
    And no invariant was violated

    Examples:
      | kind          | seed |
      | is silent     | 841  |
      | is silent     | 842  |
      | refuses calls | 843  |

  Scenario Outline: States are told while the partition of the statuses <kind>, seed <seed>
    Given 9 simulated daemons with seed <seed> and spare partitions
    When 20 jobs a second arrive for 8 seconds, and from second 1 on the partition of "the statuses" <kind> for 5 seconds
    Then at least 0.99 of the jobs are accepted within 1 s
    And at least 0.95 are shown as completed within 3 s
    And during the outage no 0.8 s pass without a start
    And during the outage every daemon is ready
    And there was a single owner throughout
    And nothing is stored of the jobs that have ended
    And no invariant was violated

    Examples:
      | kind          | seed |
      | is silent     | 851  |
      | is silent     | 852  |
      | refuses calls | 853  |

  @invariant_at_most_once
  Scenario Outline: A third of all partitions that <kind> holds up little, seed <seed>
    Given 9 simulated daemons with seed <seed> and spare partitions
    When 20 jobs a second arrive for 8 seconds, and from second 1 on the partition of "a third of all" <kind> for 5 seconds
    Then at least 0.95 of the jobs are accepted within 1 s
    And at least 0.9 are shown as completed within 3 s
    And there was a single owner throughout
    And nothing is stored of the jobs that have ended
    And no invariant was violated

    Examples:
      | kind                      | seed |
      | is silent                 | 861  |
      | is silent                 | 862  |
      | is silent and stores late | 863  |
      | is silent and stores late | 864  |
      | refuses calls             | 865  |
      | refuses calls             | 866  |

  @invariant_at_most_once
  Scenario Outline: An owner that dies while partitions <kind> is followed at their return, seed <seed>
    Given 9 simulated daemons with seed <seed> and spare partitions
    When 20 jobs a second arrive for 6 seconds, and from second 1 on the partition of "a third of all" <kind> for 5 seconds
    And 20 jobs a second arrive for 6 seconds, and the owner dies 2 seconds after the partition of "<which>" <kind> for 4 seconds
    Then every job is shown as completed 8 seconds later
    And no task started more than once
    And nothing is stored of the jobs that have ended
    And no invariant was violated

    Examples:
      | which                     | kind                      | seed |
      | the jobs                  | is silent                 | 871  |
      | the jobs                  | is silent and stores late | 872  |
      | the statuses              | is silent and stores late | 873  |
      | the jobs and the statuses | is silent and stores late | 874  |
      | half of the submissions   | is silent and stores late | 875  |
      | a third of all            | is silent and stores late | 876  |
      | a third of all            | refuses calls             | 877  |

  @invariant_at_most_once @search
  Scenario: Random faults beside partial outages violate no invariant
    When simulations with random faults and partial outages of seeds 880 to 889 run
    Then no simulation violated an invariant or left a job unfinished

  Scenario: Hosts move and waves go on while reports on waves are not taken
    Given 3 simulated daemons with seed 891 and spare partitions
    When reports on waves get no answer
    And a wave over its pool is requested, 16 at once, within 1 seconds
    And 8 seconds pass
    Then every host of the wave was maintained
    When 60 jobs of 16 tasks are submitted to "ci" at once
    And 1 seconds pass
    Then a host was moved to "ci" within this second
    When reports on waves are taken again
    And 7 seconds pass
    Then the wave is reported as completed

  Scenario Outline: A new owner fences and reads a slow store at the same time, seed <seed>
    Given 9 simulated daemons with seed <seed> and spare partitions
    When each append takes 0.12 s and each read 0.16 s
    And 100 jobs a second arrive for 4 seconds, and after 2 seconds the owner is stopped
    Then another daemon is at work within 1.2 seconds
    And no invariant was violated

    Examples:
      | seed |
      | 895  |
      | 896  |
      | 897  |

  @invariant_not_run
  Scenario Outline: The outcome of a record is told truly: its own partition is <own>, the other one <other>
    When a record is appended while its own partition is <own>, and the other one <other>
    Then its outcome is "<outcome>"

    Examples:
      | own      | other                     | outcome       |
      | silent   | there                     | stored        |
      | refusing | there                     | stored        |
      | refusing | refusing                  | not stored    |
      | silent   | refusing                  | unknown       |
      | refusing | silent                    | unknown       |
      | late     | refusing                  | stored        |
      | silent   | there, but no more allowed | unknown      |
      | refusing | there, but no more allowed | not allowed  |
