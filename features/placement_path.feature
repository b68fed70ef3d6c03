@placement
Feature: Jobs of callers run from submission to end

  Scenario: Jobs are submitted, run, explained, cancelled and refused
    Given a deployment of Vltava with workers, and its fleet applied
    When a caller submits an urgent job to each pool, twice
    Then each job runs within 2.2 s of its submission
    And each job ends as done after one run
    When a caller submits a job that no host can hold
    Then it is refused at once as too_large
    When a caller fills the portal pool and submits one more job
    Then the command line explains that job: no room
    And the caller's cancellation ends it before it ran
    And the workers detected no violated invariant
