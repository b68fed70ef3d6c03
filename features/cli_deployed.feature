@pages
Feature: Operators work on a running deployment

  Scenario: Every command prints every output format, and no secret is logged
    Given a running deployment with an applied fleet
    When an operator runs each command in each output format
    Then each command exits with 0 and its table fits 80 columns
    And the JSON output has the fields that scripts rely on
    When the control interface is called with 4 wrong tokens
    Then each call is rejected as unauthorized
    And no log or output contains a token

  Scenario: The reason why a wave can't take a host is shown for that host
    Given a running deployment with an applied fleet
    When an operator applies a wave over "portal" that budgets don't allow
    Then explaining host "portal-h1" gives the budget as the reason
    And explaining "nobody" exits with 1 and suggests a next step

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
    When that command is run until the outcome is known
    Then the exit code is 0
    And the revision in force is 2
    When that command is run again
    Then the exit code is 0
    And the revision in force is 2

  Scenario: An apply to a platform that is down changes nothing
    Given a running deployment with an applied fleet
    And the platform's log is down
    When an operator tries to apply a changed quota
    Then the exit code is 5
    And the message names "run the same command again later"

  @invariant_config_in_force
  Scenario: Waiting names the entry host that is behind
    Given a running deployment with an applied fleet
    When an operator applies a changed quota while "entry-c1" is frozen
    Then the exit code is 6
    And the message names "waiting for 1: entry-c1"
    And the message names "not yet in force on entry-c1"
    When "entry-c1" resumes and the apply is awaited by its id
    Then the exit code is 0
