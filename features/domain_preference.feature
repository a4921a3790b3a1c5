Feature: An entry with a thin link sends requests to another failure domain only where it matters

  Three engines hold the model, one in each failure domain; the entry is in domain a. A prompt takes
  100 ms to read; 100 ms of work are queued for each request at an engine.

  # Guards against sending most requests to other domains for a few milliseconds.
  Scenario Outline: One choice
    Given a link of <link> Mbit/s and an objective of <objective> ms
    When <queue> requests are at the engines of domains a, b and c
    Then the request goes to domain <domain>

    Examples:
      | link  | objective | queue | domain |
      | 20    | 8000      | 0 0 0 | a      |
      | 20    | 8000      | 5 0 0 | a      |
      | 20    | 8000      | 9 5 0 | a      |
      | 20    | 8000      | 9 5 9 | a      |
      | 20    | 8000      | 20 5 9 | b     |
      | 20    | 600       | 1 0 0 | b or c |
      | 20    | 900       | 1 0 0 | a      |
      | 100   | 8000      | 5 0 0 | a      |
      | 1000  | 8000      | 5 0 0 | b or c |
      | 0     | 8000      | 5 0 0 | b or c |

  # Guards against a domain's loss that makes its requests wait for it.
  Scenario: The domain's own engine is lost
    Given a link of 20 Mbit/s and an objective of 8000 ms
    When the engine of domain a is lost
    Then the request goes to domain b or c

  # Guards against counting what stays inside the domain, or has no known place.
  Scenario: Traffic between failure domains is counted by purpose
    Given an entry in domain a
    When it sends 300 bytes and receives 9000 bytes for an answer of domain b
    And it sends 200 bytes and receives 5000 bytes for an answer of domain a
    And it sends 100 bytes and receives 4000 bytes for an answer of an unknown domain
    Then the metrics show 300 bytes of requests sent and 9000 bytes of answers received
