@state
Feature: Every adapter of the platform's log fulfils the same contract

  Scenario Outline: <case>, by <adapter>
    Given a log by <adapter> with entries 0 to 4
    When <case>
    Then the outcome is <outcome>
    And it then holds <entries>

    Examples: Cases that every adapter can produce
      | adapter | case                          | outcome              | entries       |
      | memory  | entries 5 and 6 are appended  | offset 5             | 0 1 2 3 4 5 6 |
      | http    | entries 5 and 6 are appended  | offset 5             | 0 1 2 3 4 5 6 |
      | memory  | the log is down for an append | platform_unavailable | 0 1 2 3 4     |
      | http    | the log is down for an append | platform_unavailable | 0 1 2 3 4     |
      | memory  | the response to 5 is lost     | outcome_unknown      | 0 1 2 3 4 5   |
      | http    | the response to 5 is lost     | outcome_unknown      | 0 1 2 3 4 5   |
      | memory  | entry 5 takes effect twice    | offset 5             | 0 1 2 3 4 5 5 |
      | http    | entry 5 takes effect twice    | offset 6             | 0 1 2 3 4 5 5 |
      | memory  | an expired offset is read     | offset_expired       | 2 3 4         |
      | http    | an expired offset is read     | offset_expired       | 2 3 4         |
      | memory  | offset 6 is read              | offset_beyond_end    | 0 1 2 3 4     |
      | http    | offset 6 is read              | offset_beyond_end    | 0 1 2 3 4     |
      | memory  | offset 5 is read              | an empty last page   | 0 1 2 3 4     |
      | http    | offset 5 is read              | an empty last page   | 0 1 2 3 4     |

    Examples: Cases that only a connection can produce
      | adapter | case                          | outcome         | entries     |
      | http    | the log refuses an append     | outcome_unknown | 0 1 2 3 4   |
      | http    | the call is cut off before 5  | outcome_unknown | 0 1 2 3 4   |
      | http    | the log is too slow for 5     | outcome_unknown | 0 1 2 3 4   |
      | http    | an entry is nested 9,000 deep | offset 5        | 0 1 2 3 4 ? |
