@jobs
Feature: What the owner knows of hosts while they move between pools

  Scenario: Hosts are listed often while orders follow each other
    Given an inventory of 4 hosts in pool "ci"
    When a host is ordered to pool "web" every 0.1 seconds for 3 seconds
    Then no two lists were more than 0.5 seconds apart
