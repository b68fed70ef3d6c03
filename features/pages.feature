@pages
Feature: The documentation matches the code

  Scenario: The commands of the pages work on a running deployment
    Given the deployment that the demo keeps running
    When every console block of "README.md, docs/OPERATIONS.md" is run there
    Then at least 15 commands ran and each ended with exit code 0

  Scenario Outline: A page whose command is <fault> fails the check above
    Given the page text "<text>"
    When its console blocks are run
    Then a command fails

    Examples:
      | fault          | text                                       |
      | misspelt       | hawthorndeal statsu                        |
      | no longer there | make demmo                                |
      | of a lost file | hawthorndeal validate examples/nowhere.yaml |

  Scenario Outline: The files shown in <page> are valid
    When every yaml block of "<page>" is checked
    Then at least <count> files were found and each is valid

    Examples:
      | page              | count |
      | docs/OPERATIONS.md | 5     |

  Scenario Outline: Every block of <page> is run, checked or marked as output
    When the blocks of "<page>" are listed
    Then each is marked as console, yaml or text

    Examples:
      | page              |
      | README.md         |
      | docs/OPERATIONS.md |
      | docs/GLOSSARY.md  |
      | docs/PROOFS.md    |
      | docs/CAPACITY.md  |
      | docs/DESIGN.md    |
      | docs/DESIGN.md    |

  Scenario Outline: The table of <what> in OPERATIONS.md matches the code
    When the table headed "<head>" is read from "docs/OPERATIONS.md"
    Then it lists the <what> of the code, and each has a meaning

    Examples:
      | what                | head           |
      | daemon settings     | setting        |
      | client settings     | client setting |
      | exit codes          | code           |
      | daemon exit codes   | daemon's code  |
      | metrics             | metric         |

  Scenario Outline: Links of <page> resolve
    When the links of "<page>" are followed
    Then each link resolves to a file or a heading

    Examples:
      | page              |
      | README.md         |
      | docs/OPERATIONS.md |
      | docs/GLOSSARY.md  |
      | docs/PROOFS.md    |
      | docs/CAPACITY.md  |
      | docs/DESIGN.md    |

  Scenario: PROOFS.md names every scenario that proves an invariant
    When the proofs are read from "docs/PROOFS.md"
    Then its table of invariants is that of the feature files
    And each invariant of the brief has a scenario, and no other is tagged
    And each fault names a scenario that exists
    And the page lists what is not proved

  Scenario: A daemon sends the metrics that the page lists
    Given a running deployment that sends its metrics to the test
    When metrics arrive for every gauge that the page lists
    Then every metric received is listed in the page
