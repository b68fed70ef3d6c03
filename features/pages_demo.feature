@pages
Feature: The demo tells the truth and ends what it started

  Scenario: A demo without faults ends with 0
    When the demo runs with 200 requests and no fault
    Then the demo ends with 0 and prints "served" as 200

  Scenario: A demo with an endpoint that runs requests twice ends with 1
    When the demo runs with 200 requests and fault "twice"
    Then the demo ends with 1 and prints "served" as 200

  Scenario Outline: <signal> in mid-run leaves no process behind
    Given the demo in mid-run
    When it alone gets <signal>
    Then it ends with 130, and nothing that it started runs on

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |
