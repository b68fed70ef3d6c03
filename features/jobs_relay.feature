@jobs
Feature: A daemon without the store has its calls answered by another one

  The store turns some daemons away, or a link to it is cut, while the other
  daemons are served.

  Scenario Outline: Jobs are accepted by daemons that the store <kind>
    Given 9 simulated daemons that pass calls on, with seed <seed>
    When the store <kind> 3 of the daemons
    And 12 jobs are submitted to these daemons within 2 seconds
    Then each of them was accepted within 1 second
    And each of these daemons tells the state of each job
    And each of these daemons cancels a job that runs
    When 8 seconds pass
    Then each other job is reported as completed by its daemon
    And no invariant was violated

    Examples:
      | kind        | seed |
      | turns away  | 421  |
      | is cut from | 422  |

  @invariant_not_run
  Scenario: A call that no daemon can answer is refused at once, and never runs
    Given 3 simulated daemons that pass calls on, with seed 423
    When the store turns away 3 of the daemons
    Then a job submitted to a daemon is refused as not_ready within 0.2 seconds
    And it is passed on no further than once to each other daemon

  Scenario: A call is passed on by one daemon only
    Given 3 simulated daemons that pass calls on, with seed 424
    When the store turns away 2 of the daemons
    And a job is submitted to a daemon that the store turns away
    Then the other daemon without the store doesn't pass it on

  Scenario: What a slow store doesn't take is passed on to nobody
    Given 9 simulated daemons that pass calls on, with seed 430
    When the store answers reads, but takes no submissions
    Then a job submitted to a daemon is refused as not_ready within 0.2 seconds
    And it is passed on to nobody

  Scenario: A daemon that doesn't answer keeps no call waiting
    Given 9 simulated daemons that pass calls on, with seed 425
    When the store is cut from 1 of the daemons
    And 4 of the others answer no calls
    Then a job submitted to the first daemon is accepted within 1.5 seconds

  @invariant_not_run
  Scenario: A job whose passing on was not answered isn't told as not run
    Given 3 simulated daemons that pass calls on, with seed 426
    When the store is cut from 1 of the daemons
    And the others answer no calls
    Then a job submitted to the first daemon is answered with 502 within 3 seconds

  @invariant_config_in_force
  Scenario: What a newer configuration decided isn't answered by an older one
    Given 3 simulated daemons that pass calls on, with seed 427
    When the store turns away 1 of the daemons
    And a configuration without queue "ci" comes into force elsewhere
    Then the first daemon answers a submission to "ci" with 404
    When that daemon reads the store again, but no configuration
    Then the first daemon answers a submission to "ci" with 404

  @invariant_config_in_force
  Scenario: Daemons with an older configuration aren't asked for what is newer
    Given 3 simulated daemons that pass calls on, with seed 428
    When only the first daemon reads a newer configuration
    And the store turns away that daemon
    Then a job submitted to it is refused as not_ready

  Scenario: A daemon with an older configuration answers no call of a newer one
    Given 3 simulated daemons that pass calls on, with seed 428
    When a call that needs version 99 of the configuration is passed on
    Then it is answered with 503

  Scenario Outline: A relay decodes a malformed <what> as none
    Then a malformed <what> is refused: <text>

    Examples:
      | what   | text                                                        |
      | call   | {}                                                          |
      | call   | {"method": "POST"}                                          |
      | call   | []                                                          |
      | answer | {}                                                          |
      | answer | {"status": "x", "plain": {}, "retry_after_s": 1, "version": 1} |
      | answer | {"status": 200, "plain": 7, "retry_after_s": 1, "version": 1} |

  Scenario: A state that no daemon could tell is refused as not ready
    Given 3 simulated daemons that pass calls on, with seed 429
    When the store is cut from 1 of the daemons
    And the others answer no calls
    Then the first daemon refuses to tell a state with 503

  Scenario: Daemons of this zone are tried first, those that failed not again
    Given daemons "a" and "b" in zone 1 and "c" and "d" in zone 2
    Then "a" tries "b" first, and all others after it
    When "b" has failed
    Then "a" doesn't try "b" for 0.5 seconds

  @search
  Scenario: Random faults violate no invariant while calls are passed on
    When simulations with random faults and calls passed on of seeds 7015 to 7024 run
    Then no simulation violated an invariant or left a job unfinished
