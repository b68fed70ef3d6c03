@hosts
Feature: The host list is updated from incremental changes

  Scenario Outline: The host list matches the platform's after <event>
    Given a platform that lists 200 hosts, <versions>
    And the host list was read once
    When <event>
    Then the next list read matches the platform's
    And the platform sent <sent> hosts

    Examples:
      | event                              | versions         | sent |
      | nothing happens                    | with versions    | 0    |
      | 3 hosts are drained             | with versions    | 3    |
      | 2 hosts are removed              | with versions    | 0    |
      | a host is removed and added again   | with versions    | 1    |
      | the platform is restarted      | with versions    | 200  |
      | a response with a change is lost    | with versions    | 1    |
      | a response has an invalid status   | with versions    | 200  |
      | 3 hosts are drained             | without versions | 200  |
