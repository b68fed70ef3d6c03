@pages
Feature: The demo reports faults and stops its processes

  Scenario: A demo without faults exits with 0
    When the demo runs with 200 requests and no fault
    Then the demo exits with 0 and prints "served" as 200

  Scenario: A demo with an endpoint that runs requests twice exits with 1
    When the demo runs with 200 requests and fault "twice"
    Then the demo exits with 1 and prints "served" as 200

  Scenario Outline: <signal> in mid-run leaves no process behind
    Given a demo in mid-run
    When only the demo process gets <signal>
    Then it exits with 130 and leaves no process running

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |
