@jobs
Feature: An attempt of a gang is a run of it

  A gang fails as a whole. However many of its members fail in a run, and in
  whatever order their ends are learned, that run counts once, and the count is
  the same for a successor.

  # A job was given up after two runs of three, since its gang counted as failed
  # by each member that failed.
  Scenario Outline: A gang has as many runs as its queue grants: <failing> of 4 members fail, <order>, <successor>
    Given a gang of 4 tasks, and a queue of 3 attempts
    When <failing> members fail in 2 runs, <order>, <successor>
    Then its job goes on
    When <failing> members fail in 1 run, <order>, <successor>
    Then its job has failed after 3 runs

    Examples:
      | failing | order                     | successor               |
      | 1       | their ends learned first  | without a successor     |
      | 2       | their ends learned first  | without a successor     |
      | 2       | their ends learned last   | without a successor     |
      | 4       | their ends learned first  | without a successor     |
      | 2       | their ends learned first  | with a successor a run  |
      | 4       | their ends learned last   | with a successor a run  |
      | 2       | their ends learned last   | with a successor midway |
      | 4       | their ends learned first  | with a successor midway |

  # A run that was written off has failed all the same. It counted for nothing,
  # so that more runs were started than the queue grants.
  Scenario Outline: A failure that is learned late counts as an attempt, and once: <kind>
    Given <kind>, and a queue of 3 attempts
    When each of its runs fails, which is told after it was written off
    Then its job has failed after 3 runs

    Examples:
      | kind              |
      | a gang of 4 tasks |
      | a task            |

  Scenario Outline: An end that is told again, to a successor, counts once: <kind>
    Given <kind>, and a queue of 3 attempts
    When it fails in 2 runs, and each successor is told all ends again
    Then its job goes on
    When all members fail in 1 run, their ends learned first, with a successor a run
    Then its job has failed after 3 runs

    Examples:
      | kind              |
      | a gang of 4 tasks |
      | a task            |

  Scenario Outline: Failures stored by an earlier version grant <left> more runs: <failures>
    Given a gang of 4 tasks, and a queue of 3 attempts
    And a record of an earlier version in which its members failed <failures> times
    When all members fail in <left> runs, their ends learned first, without a successor
    Then its job has failed after <left> runs

    Examples:
      | failures | left |
      | 1 1 0 0  | 2    |
      | 2 0 0 0  | 1    |
      | 1 1 1 1  | 2    |

  # The progress of many tasks is stored in several records.
  Scenario Outline: A successor knows the failed runs of <count> tasks: <kind>
    Given <kind> of <count> tasks, each of which has failed in runs of its own
    When a successor reads its progress, stored <how>
    Then it knows the same failed runs, and as many attempts

    Examples:
      | kind         | count | how                |
      | a plain step | 600   | in several records |
      | a plain step | 600   | in one record      |
      | a gang       | 600   | in several records |
      | a gang       | 600   | in one record      |
