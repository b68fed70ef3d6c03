@jobs
Feature: A long response may take longer than the timeout of its call

  Each server writes 6 parts of a response over a socket of loopback.

  Scenario Outline: A response whose parts come <gap> s apart: <case>
    Given a server that writes <parts> of 6 parts <gap> s apart, then <then>
    When it is called with <kind> timeout of 0.5 s
    Then the call has <outcome> after <least> to <most> seconds

    Examples:
      | case                   | kind     | parts | gap | then  | outcome   | least | most |
      | it goes on             | an idle  | 6     | 0.2 | ends  | succeeded | 1.0   | 2.0  |
      | it stops in the middle | an idle  | 3     | 0.2 | stops | failed    | 0.9   | 1.4  |
      | nothing comes          | an idle  | 0     | 0.2 | stops | failed    | 0.5   | 1.0  |
      | its time is up         | a total  | 6     | 0.2 | ends  | failed    | 0.5   | 1.0  |
      | it breaks              | an idle  | 3     | 0.2 | ends  | failed    | 0.4   | 1.0  |

  Scenario: The time of a transfer is told apart from the latency
    Given a server that writes 6 of 6 parts 0.2 s apart, then ends
    When it is called with an idle timeout of 0.5 s
    Then the response began within 0.5 s, and took 0.9 to 1.9 s from then on

  Scenario: A call to a host that doesn't take connections is known not to be sent
    Given a server that takes no more connections
    When it is called by a client that connects within 0.25 s
    Then the call is told as not sent within 0.6 s

  Scenario: Calls to silent partitions of the store keep none to others waiting
    Given a store whose partitions 0 to 6 of 16 answer nothing
    When a daemon reads all partitions, and appends twice to each silent one, for 3 s
    Then appends to partition 9 are answered within 0.5 s meanwhile

  Scenario: Calls given up while they connect end neither the process nor other calls
    When a process gives up calls while their connections are being opened
    Then it ends with 0, since all other calls got their own answers
