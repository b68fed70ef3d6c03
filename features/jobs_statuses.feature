@jobs
Feature: What a daemon tells callers follows the stored statuses

  Scenario Outline: A status is told: <case>
    Given a board on which <given>
    When <event>
    Then job "a" is <told>, and <waiting> jobs wait

    Examples:
      | case                   | given                       | event                            | told      | waiting |
      | accepted here          | nothing is known            | this daemon accepts "a"          | queued    | 1       |
      | accepted elsewhere     | nothing is known            | "a" is stored as queued          | queued    | 1       |
      | accepted here, then read | this daemon accepted "a"  | "a" is stored as queued          | queued    | 1       |
      | begun                  | "a" is stored as queued     | "a" is stored as running         | running   | 0       |
      | ended                  | "a" is stored as running    | "a" is stored as completed       | completed | 0       |
      | cancelled here         | "a" is stored as running    | this daemon cancels "a"          | cancelled | 0       |
      | an older status        | this daemon cancelled "a"   | "a" is stored as running         | cancelled | 0       |
      | ended before the cancel | this daemon cancelled "a"  | "a" is stored as completed       | completed | 0       |
      | cancelled after its end | "a" is stored as completed | this daemon cancels "a"          | completed | 0       |
      | accepted again         | "a" is stored as completed  | this daemon accepts "a"          | completed | 0       |
      | dropped                | "a" is stored as completed  | the status of "a" is deleted     | unknown   | 0       |
      | malformed              | "a" is stored as queued     | a malformed status of "a" is read | queued   | 1       |

  Scenario: Statuses deleted while a daemon could not read are dropped at its next load
    Given a board on which "a" is stored as completed
    When a load finds no key of "a"
    Then job "a" is unknown, and 0 jobs wait

  Scenario: A late deletion of an executor's entry doesn't remove a newer entry
    Given an entry of an executor at offset 7
    When its deletion at offset 5 is read
    Then the entry is still known
