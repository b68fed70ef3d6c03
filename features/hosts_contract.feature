@hosts
Feature: The list of hosts is followed by its changes

  Scenario Outline: The list is that of the platform after <event>
    Given a platform that lists 200 hosts, <versions>
    And its list was read once
    When <event>
    Then the list read next is that of the platform
    And it told <told> hosts

    Examples:
      | event                              | versions         | told |
      | nothing happens                    | with versions    | 0    |
      | 3 hosts begin to leave             | with versions    | 3    |
      | 2 hosts are taken off              | with versions    | 0    |
      | a host is taken off and put back   | with versions    | 1    |
      | the platform is started again      | with versions    | 200  |
      | an answer with a change is lost    | with versions    | 1    |
      | an answer holds a foreign status   | with versions    | 200  |
      | 3 hosts begin to leave             | without versions | 200  |
