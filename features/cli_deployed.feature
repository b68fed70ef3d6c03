@pages
Feature: Operators work on a running deployment

  Scenario: Every command prints every form, and no secret is logged
    Given a running deployment with an applied fleet
    When an operator runs each command in each form
    Then each ends with exit code 0 and fits 80 columns
    And the JSON forms hold the fields that scripts rely on
    When strangers try the control interface with 4 wrong tokens
    Then each of them is refused
    And no token stands in any log or output

  Scenario: A host that a wave can't take is explained by its name
    Given a running deployment with an applied fleet
    When an operator applies a wave over "portal" that budgets don't allow
    Then explaining host "portal-h1" gives the budget as the reason
    And explaining "nobody" ends with exit code 1 and a next step

  Scenario: A plan of a wave that budgets never allow is refused
    Given a running deployment with an applied fleet
    When an operator plans a wave that budgets never allow
    Then the exit code is 3
    And the message names "raise max_unavailable"
    And the output names all 6 hosts of "portal"

  @invariant_config_in_force
  Scenario: An apply whose answer is lost is settled by its id
    Given a running deployment with an applied fleet
    And the platform's log answers appends after 1.5 s
    When an operator who waits 1 s for answers applies a changed quota
    Then the exit code is 4
    And the message names the command that settles it
    When that command is run until it knows
    Then the exit code is 0
    And the revision in force is 2
    When that command is run again
    Then the exit code is 0
    And the revision in force is 2

  Scenario: An apply to a platform that is down changes nothing
    Given a running deployment with an applied fleet
    And the platform's log is down
    When an operator applies a changed quota and expects trouble
    Then the exit code is 5
    And the message names "run the same command again later"

  @invariant_config_in_force
  Scenario: Waiting names the entry host that is behind
    Given a running deployment with an applied fleet
    When an operator applies a changed quota while "entry-c1" is frozen
    Then the exit code is 6
    And the message names "waiting for 1: entry-c1"
    And the message names "not yet in force on entry-c1"
    When "entry-c1" runs on and the same is awaited by id
    Then the exit code is 0
