@jobs
Feature: No accepted job stands beside room, judged by what executors run

  Whole daemons play random days: changes of the configuration, takeovers, lost
  answers and crashes, with bursts in several pools in turn. In any calm, a job
  whose turn has come runs within 3 s if its pool has room for it twice over and
  is under half full, and so does each long-running task, however full it is.

  Scenario Outline: The judge finds work that the owner doesn't start: <work>
    Given simulated daemons with seed 2301
    And a judge of work beside room
    And the owner starts nothing
    When <work> is accepted in a pool that is <use>
    And <seconds> seconds pass under the judge
    Then the judge has found <found>

    Examples:
      | work               | use         | seconds | found              |
      | a job              | idle        | 4       | 1 job              |
      | a job              | idle        | 2       | nothing            |
      | a job              | over half in use | 4  | nothing            |
      | a long-running job | over half in use | 7  | 2 long-running tasks |

  Scenario: The judge finds nothing where the owner starts work
    Given simulated daemons with seed 2302
    And a judge of work beside room
    When a job is accepted in a pool that is idle
    And 4 seconds pass under the judge
    Then the judge has found nothing

  @search
  Scenario: In the calm of random days, no job stands beside room
    When days of seeds 100 to 101 are played
    Then no job stood beside room, and no invariant was violated
