Feature: Configuration files are validated before anything starts

  Scenario Outline: A fleet file with <fault> is refused
    Given the fleet file of Vltava with <fault>
    When it is validated
    Then the exit code is 2
    And the message names "<named>"

    Examples:
      | fault                  | named                       |
      | an unknown key         | colour                      |
      | a host in two pools    | pr-checker-h1               |
      | a host in no pool      | pool                        |
      | an unknown reference   | 'nowhere'                   |
      | an impossible budget   | max_unavailable             |
      | a unit error           | '64GB'                      |
      | a duplicate key        | duplicate key               |
      | no content             | expected a mapping          |
      | 50 MB of text          | bytes, more than            |
      | a null                 | has no value                |

  Scenario: All problems of a file are reported at once
    Given the fleet file of Vltava with two problems
    When it is validated
    Then the exit code is 2
    And the message names "nowhere"
    And the message names "max_unavailable"

  Scenario Outline: A daemon does not start when its settings have <fault>
    Given the settings of a daemon with <fault>
    When the daemon is started
    Then the exit code is 2
    And the message names "<named>"

    Examples:
      | fault            | named    |
      | an unknown key   | colour   |
      | a bad address    | nohost   |
      | a negative time  | log_poll_s |
