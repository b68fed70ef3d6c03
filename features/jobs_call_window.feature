@jobs
Feature: The number of calls in flight follows what the owner's link carries

  Scenario Outline: The window <verdict> when <case>
    Given a window for calls to 4 executors that answer in <usual> s
    When each executor answers 64 calls
    And for <rounds> rounds <slow> executors <trouble>
    Then the window <verdict>

    Examples:
      | case                                       | usual | rounds | slow | trouble            | verdict   |
      | all answers come in time                   | 0.002 | 3      | 0    | are silent         | grows     |
      | all answers always took long               | 0.25  | 3      | 0    | are silent         | grows     |
      | all answers are slightly later             | 0.002 | 3      | 4    | take 0.05 s longer | grows     |
      | the answers of all rise                    | 0.002 | 1      | 4    | take 0.2 s longer  | is halved |
      | the answers of most rise                   | 0.002 | 1      | 3    | take 0.2 s longer  | is halved |
      | no executor answers for a round trip       | 0.002 | 1      | 4    | are silent         | is halved |
      | most executors are silent for a round trip | 0.002 | 1      | 3    | are silent         | is halved |
      | one executor is slow                       | 0.002 | 3      | 1    | take 0.3 s longer  | grows     |
      | one executor is silent                     | 0.002 | 3      | 1    | are silent         | grows     |
      | the answers of all rise for long           | 0.002 | 20     | 4    | take 0.2 s longer  | is 4      |
      | no executor answers for long               | 0.002 | 20     | 4    | are silent         | is 2      |
      | all answers come in time for long          | 0.002 | 20     | 0    | are silent         | is 1000   |

  Scenario: A window that isn't used doesn't grow
    Given a window for calls to 4 executors that answer in 0.002 s
    When 100 calls are sent and answered one after the other
    Then the window is 16

  Scenario: A window recovers within 50 round trips
    Given a window for calls to 4 executors that answer in 0.002 s
    When each executor answers 64 calls
    And for 20 rounds 4 executors take 0.2 s longer
    Then the window is 4
    When for 50 rounds 0 executors are silent
    Then the window is at least 100

  Scenario Outline: Answers that are slower for good don't keep the window small: <slower> s
    Given a window for calls to 4 executors that answer in 0.002 s
    When each executor answers 64 calls
    And for <rounds> rounds 4 executors take <slower> s longer
    Then the window is at least 100

    Examples:
      | slower | rounds |
      | 0.11   | 75     |
      | 0.2    | 40     |
      | 0.35   | 24     |

  Scenario Outline: A queue on the owner's own link isn't taken for slow executors: <rate> calls a second
    Given a link that carries 1000 calls a second, and <rate> after 10 seconds
    When as many calls as allowed are sent for 60 seconds
    Then no call times out later than 10 seconds after the change
    And the link carries 0.9 of what it can from then on, or more

    Examples:
      | rate |
      | 200  |
      | 100  |
      | 50   |

  Scenario: A pause of the owner itself isn't taken for a full link
    Given a window for calls to 4 executors that answer in 0.002 s
    When each executor answers 64 calls
    And for 1 round the owner is busy for 0.3 s before it reads the answers
    Then the window grows

  Scenario Outline: Silent calls <verdict> the window when <case>
    Given a window for calls to 4 executors that answer in 0.002 s
    When 16 calls to "<silent>" are sent
    And <later> calls to "d" are sent after 0.05 seconds and answered
    And 0.2 seconds pass without another answer
    Then <free> calls may be sent

    Examples:
      | case                                | verdict  | silent | later | free |
      | only one executor is concerned      | leave    | a      | 0     | 16   |
      | two are, and nobody answers         | occupy   | ab     | 0     | 0    |
      | two are, and another one answers    | leave    | ab     | 1     | 16   |

  Scenario Outline: A cycle with <bound> starts plans <first>, and later ones the rest
    Given steps "<steps>" and executors with room for 32 tasks
    When cycles of <bound> starts are planned until nothing is left
    Then the first cycle starts "<first>"
    And as many cycles as needed start each task once

    Examples: Steps as NAME*TASKS; the first is the most urgent
      | steps             | bound | first       |
      | a*2 b*2           | 4     | a a b b     |
      | a*2 b*2           | 3     | a a b       |
      | a*12 b*1          | 4     | a a b a     |
      | a*12 lasting*2    | 4     | lasting lasting a a |
      | a*12 lasting*12   | 4     | lasting lasting a lasting |
      | a*12 b*12         | 8     | a a a a b b a a |

  Scenario Outline: A gang starts whole or not at all: <case>
    Given steps "<steps>" and executors with room for 32 tasks
    When a cycle of <bound> starts is planned <with> others in flight
    Then it starts "<starts>"

    Examples:
      | case                              | steps         | bound | with    | starts          |
      | it fits                           | gang*4 b*2    | 6     | with    | gang gang gang gang b b |
      | it is too large for now           | gang*4 b*2    | 3     | with    |                 |
      | it exceeds any window             | gang*4 b*2    | 3     | without | gang gang gang gang |
      | others were planned before it     | a*1 gang*4 b*2 | 3    | without | a               |
      | there is no room for it anyway    | gang*40 b*2   | 3     | with    | b b             |

  Scenario: A gang isn't kept waiting by steps that go before it
    Given steps "a*20 gang*5" and executors with room for 32 tasks
    When a cycle of 4 starts is planned with others in flight
    Then it starts "a a"
    When a cycle of 4 starts is planned with others in flight
    Then it starts ""
    When a cycle of 4 starts is planned without others in flight
    Then it starts "gang gang gang gang gang"

  Scenario: A job without a start goes before others that have begun, after a while
    Given steps "a*12 b*12" and executors with room for 32 tasks
    When a cycle of 1 starts is planned with others in flight
    Then it starts "a"
    When a cycle of 1 starts is planned with others in flight
    Then it starts "a"
    When no cycle is planned for 1.2 s
    And a cycle of 4 starts is planned with others in flight
    Then it starts "b a a b"

  Scenario: Long-running tasks don't wait for jobs that have waited for a start
    Given steps "a*12 b*12" and executors with room for 32 tasks
    When a cycle of 1 starts is planned with others in flight
    And no cycle is planned for 1.2 s
    And step "lasting*1" arrives
    And a cycle of 2 starts is planned with others in flight
    Then it starts "lasting b"

  Scenario: Steps that wait for answers don't count as starved
    Given steps "a*20" and executors with room for 32 tasks
    When a cycle of 4 starts is planned with others in flight
    Then step "a" isn't counted as unplaced

  Scenario Outline: Polls while a start is unknown become rarer: <case>
    When the start of a run has been unknown for <age> s
    Then a poll waits for <wait> s

    Examples:
      | case                     | age | wait |
      | it has just become so    | 0.0 | 0.05 |
      | it has been for a while  | 0.3 | 0.15 |
      | it has been for long     | 2.0 | 0.25 |
