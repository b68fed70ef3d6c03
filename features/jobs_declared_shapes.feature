@jobs
Feature: What a job makes a daemon compute is bounded by its size

  A job is computed on the event loop of the owner, and again on that of each
  successor. One whose work grows faster than its declaration stops them all.

  Scenario Outline: The work that a job causes grows no faster than the job: <shape>
    Given jobs of <few> and <many> <shape>
    When each of them lives from its submission to its end
    Then the large one costs less than 2 times as much for its size

    Examples:
      | shape                                   | few | many |
      | steps that each wait for all before     | 10  | 16   |
      | steps that each wait for all before     | 25  | 100  |
      | steps in layers of four                 | 24  | 36   |
      | steps in layers of four                 | 24  | 100  |
      | steps that each wait for the one before | 25  | 100  |
      | steps that wait for the first           | 25  | 100  |
      | steps that the last waits for           | 50  | 100  |
      | tasks of one step                       | 200 | 800  |
      | members of a gang                       | 100 | 400  |
      | occurrences that are all due            | 100 | 400  |

  Scenario: A step that names another one many times waits for it once
    When a job is submitted whose second step waits 10000 times for the first
    Then its second step waits for 1 step

  Scenario Outline: A job that asks for too much in all is refused at once: <repetitions> times <tasks> <kind> tasks
    When a job is submitted that asks for <repetitions> times <tasks> <kind> tasks
    Then it is refused with an error that names <limit>

    Examples:
      | repetitions | tasks | kind         | limit  |
      | 100001      | 1     | short        | 100000 |
      | 1000000000  | 1     | short        | 100000 |
      | 21          | 5000  | short        | 100000 |
      | 5001        | 1     | long-running | 5000   |

  Scenario: Occurrences that are all due begin as earlier ones end
    Given a job of 250 occurrences of 2 steps that are all due
    When its tasks end one after the other
    Then 50 occurrences are under way at once at most
    And each occurrence runs once

  # 5000 tasks of a millisecond are the work of five hosts for a second.
  Scenario Outline: The cost of planning hosts doesn't grow with declared work: <declared>
    Given <hosts> idle hosts, and a job of 5000 tasks of 16 cores that each take <declared>
    When the moves of hosts are planned
    Then that takes <limit> instructions or fewer
    And <moved> hosts are moved to the pool of the job

    Examples:
      | hosts | declared         | limit  | moved |
      | 10    | a millisecond    | 20000  | 6     |
      | 10    | a minute         | 20000  | 10    |
      | 10    | a day            | 20000  | 10    |
      | 10    | a year           | 20000  | 10    |
      | 10    | the longest time | 20000  | 10    |
      | 100   | a minute         | 200000 | 100   |
      | 100   | a year           | 200000 | 100   |

  Scenario Outline: A successor starts each occurrence that had not begun: <begun> of 5 had
    Given a job of 5 occurrences that are all due, of which <begun> have begun
    When a successor reads what is stored of it
    Then it starts the occurrences <missing>
    And it completes the job

    Examples:
      | begun   | missing |
      | 1       | 0 2 3 4 |
      | 4       | 0 1 2 3 |
      | 0 2 4   | 1 3     |
      | 0       | 1 2 3 4 |

  Scenario Outline: The cost of placing a task doesn't grow with what runs beside it: <limit> on a host
    When a job of 20 steps of 60 small long-running tasks lives on 12 hosts, with <limit> of a step on a host
    Then it costs no more than its size and the hosts allow

    Examples:
      | limit     |
      | any       |
      | at most 5 |

  @search
  Scenario Outline: No body that is accepted costs more than its size allows, seed <seed>
    When 60 bodies at the edges of what is accepted live, by seed <seed>
    Then each of them costs no more than its size and the hosts allow
    And 20 of them or more were accepted

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The progress of many tasks is stored in records of a limited size
    Given a job of 5000 tasks with checkpoints of 64 bytes, all of them running
    Then its progress takes records of 65536 bytes or less
    And a successor that reads them has the same tasks
    When 3 of its tasks end
    Then 3 records or fewer are stored
    And a successor that reads them has the same tasks

  Scenario Outline: Progress of many tasks is read in any order of its records: <order>
    Given a job of 600 tasks of which 5 end after each record
    When a successor reads the records <order>
    Then it has the tasks of the newest record of each

    Examples:
      | order               |
      | as they were stored |
      | in reverse          |
      | each of them twice  |

  Scenario: Progress that an earlier version stored in one record is read
    Given a job of 600 tasks whose progress is stored in one record
    When 5 of its tasks end, and their progress is stored in parts
    Then a successor that reads them has the same tasks
    And each record of the job is deleted with it

  Scenario Outline: A malformed part of the progress is rejected: <part>
    Given a job of 600 tasks whose progress is stored in one record
    When a record "<part>" of <rows> tasks of it is read
    Then it is rejected, and the tasks are as before

    Examples:
      | part          | rows |
      | 0/512         | 256  |
      | 0/-1          | 1    |
      | 0/x           | 1    |
      | 0/0/0         | 1    |
      | 1/0           | 1    |
      | 0/²           | 1    |

  Scenario: Many tasks that fail for the last time stop their job once
    Given a job of 200 tasks that all run for the last time
    When all of them fail
    Then each failure but the first costs less than half of it
