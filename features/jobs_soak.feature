@jobs
Feature: Jobs beside room in a run of real processes

  The soak judges by what executors and callers recorded. A pool here has
  executors of 16 cores; each task asks for 1 core.

  Scenario Outline: A job that stands is found by what ran: <case>
    Given a recorded pool of <executors> executors, with <busy> cores of each in use
    And a recorded job of <tasks> tasks, accepted at 1 s
    And its first task runs <runs> on the first executor
    When the record is judged up to 12 s
    Then <cases> cases are found

    Examples:
      | case                                       | executors | busy | tasks | runs                                | cases |
      | nothing of it ever runs                    | 2         | 0    | 2     | never                               | 1     |
      | nothing of it runs for over 3 s            | 2         | 0    | 2     | from 4.5 s to 5 s, from 6 s to 20 s | 1     |
      | it stands twice                            | 2         | 0    | 2     | from 4.5 s to 5 s                   | 2     |
      | a part of it runs                          | 2         | 0    | 2     | from 2 s to 20 s                    | 0     |
      | it begins in time                          | 2         | 0    | 2     | from 3.5 s to 20 s                  | 0     |
      | half of the pool is in use                 | 2         | 8    | 2     | never                               | 0     |
      | a little less than half of it is in use    | 2         | 7    | 2     | never                               | 1     |
      | it is over                                 | 2         | 0    | 1     | from 2 s to 3 s                     | 0     |

  Scenario Outline: A job that waits for good reason isn't found: <case>
    Given a recorded pool of 2 executors, with 0 cores of each in use
    And a recorded job whose <case>, accepted at 1 s
    When the record is judged up to 12 s
    Then 0 cases are found

    Examples:
      | case                                       |
      | submission was refused                     |
      | tasks fit only once                        |
      | tasks may be on one executor once, of one  |

  Scenario Outline: Each long-running task is judged by itself: <case>
    Given a recorded pool of 2 executors, with <busy> cores of each in use
    And a recorded long-running job of 2 tasks, accepted at 1 s
    And its first task runs from 2 s to 30 s on the first executor
    And its second task runs <runs> on the first executor
    When the record is judged up to 12 s
    Then <cases> cases are found

    Examples:
      | case                       | busy | runs             | cases |
      | it never runs              | 0    | never            | 1     |
      | however full the pool is   | 12   | never            | 1     |
      | it runs again within 6 s   | 0    | from 6 s to 30 s | 0     |
      | it runs again after 6 s    | 0    | from 8 s to 30 s | 1     |

  Scenario Outline: Only a machine that holds up a stand-in excuses a case: <case>
    Given a recorded pool of 2 executors, with 0 cores of each in use
    And a recorded job of 2 tasks, accepted at 5 s
    And its first task runs from 10 s to 20 s on the first executor
    And a stand-in that is held up from <begin> s to <end> s
    When the record is judged up to 19 s
    Then <cases> calm cases are found

    Examples:
      | case              | begin | end  | cases |
      | during the case   | 7     | 7.6  | 0     |
      | shortly before it | 1     | 2    | 0     |
      | for a short time  | 7     | 7.4  | 1     |
      | long before it    | 0.1   | 0.9  | 1     |
      | after it          | 11    | 12   | 1     |

  Scenario Outline: No job stands beside room in a short run: seed <seed>
    When the soak runs 3 daemons and 30 executors for 18 s at 0.14 of the rates with seed <seed>
    Then every job was accepted or refused
    And no job had nothing running beside room while the stand-ins were calm

    Examples:
      | seed |
      | 1    |
