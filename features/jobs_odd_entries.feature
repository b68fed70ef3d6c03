@jobs
Feature: One odd entry of another writer stops nothing

  Other programs may write among the entries of the executors, hosts and
  operators. What can't be used names nothing to use; all else holds.

  Scenario Outline: An odd entry names no executor to use: <case>
    When an entry is decoded whose "<field>" is <value>
    Then it is rejected, for a reason that a log line can hold

    Examples:
      | case                    | field              | value                   |
      | a port out of range     | address            | "10.0.0.1:99999"        |
      | a negative port         | address            | "10.0.0.1:-1"           |
      | port 0                  | address            | "10.0.0.1:0"            |
      | a port of 5,000 digits  | address            | "10.0.0.1:" and 5000 times "9" |
      | a port that is a word   | address            | "10.0.0.1:http"         |
      | no port                 | address            | "10.0.0.1"              |
      | a name                  | address            | "executor:80"           |
      | NUL in the address      | address            | "10.0.0.1\u0000:80"     |
      | a lone surrogate        | address            | "\ud800:80"             |
      | a surrogate as pool     | service            | "\ud800"                |
      | a new line in the pool  | service            | "a\nb"                  |
      | a pool of 5,000 letters | service            | "a" and 5000 times "a"  |
      | a pool that is a list   | service            | ["a"]                   |
      | a deep pool             | service            | nested 900 deep         |
      | a deep zone             | zone               | nested 900 deep         |
      | a deep label            | labels             | nested 900 deep         |
      | a label that is a number | labels            | [1]                     |
      | labels that are a text  | labels             | "ab"                    |
      | a host that is a list   | machine            | ["m"]                   |
      | an unknown state        | state              | "gone"                  |
      | a state that is a list  | state              | ["ready"]               |
      | a time left as text     | drain-remaining-ms | "1e400"                 |
      | a time left that is no number | drain-remaining-ms | "nan"             |
      | a negative time left    | drain-remaining-ms | -1                      |
      | deeper than JSON allows | service            | nested 100000 deep      |
      | a number of 5,000 digits | slots             | 5000 times 9            |
      | an infinite number      | slots              | 1e999                   |

  Scenario: Odd entries in a page keep no executor from being known
    Given a partition of entries with 3 sound ones and odd ones among them
    When an owner's reader loads it
    Then it knows the 3 executors, and no other
    And what it skipped was logged, a line each
    When an odd entry replaces that of a known executor
    Then nothing starts on that executor, and it knows 3 executors

  Scenario: The clock in an entry, which another may have written, grants no lease
    When an executor whose entry tells a clock of 9e12 ms is polled at 5 s
    Then its clock is taken as 5 s

  Scenario Outline: A call to what is no address is told as not sent: <address>
    When a task is started at "<address>"
    Then the executor is told to be unhealthy, and nothing of a run

    Examples:
      | address        |
      | 10.0.0.1:99999 |
      | 10.0.0.1:-1    |
      | [::1:80        |

  Scenario Outline: An odd row in a list of hosts is left out: <case>
    When a list of hosts is decoded in which the "<field>" of one is <value>
    Then the other hosts are listed

    Examples:
      | case                | field   | value           |
      | no name             | machine | ""              |
      | a surrogate as name | machine | "\ud800"        |
      | a deep name         | machine | nested 900 deep |
      | an unknown state    | state   | "lost"          |
      | a state as list     | state   | ["up"]          |
      | a pool as number    | pool    | 5               |
      | labels as number    | labels  | 5               |

  Scenario Outline: An odd wave is skipped: <case>
    When a wave is decoded whose "<field>" is <value>
    Then it is rejected, for a reason that a log line can hold

    Examples:
      | case                | field      | value           |
      | hosts as text       | machines   | "abc"           |
      | a deep host         | machines   | nested 900 deep |
      | a negative duration | duration-s | -5              |
      | a duration as text  | duration-s | "nan"           |
      | a limit as text     | max-count  | "1"             |
      | a negative number   | wave       | -1              |
