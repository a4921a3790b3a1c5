Feature: Adapters are on engines before they are asked for
  Engines have two adapter slots. Each of the models a and b has the adapters a1, a2 and a3.

  Scenario Outline: One decision for an adapter that requests wait for
    Given the adapter engines <engines>
    And the expected requests <rates>
    When requests wait for <wanted>
    Then the adapter move is <move>

    Examples:
      | engines                                  | rates                     | wanted | move                   |
      | x: a b                                   | nothing                   | a/a1   | a/a1 on x              |
      | x: a+a1 b                                | nothing                   | a/a1   | none                   |
      | x: b                                     | nothing                   | a/a1   | none                   |
      | x: a busy                                | nothing                   | a/a1   | none                   |
      | x: a busy; y: a b                        | nothing                   | a/a1   | a/a1 on y              |
      | x: a+a2 b+a3; y: a                       | nothing                   | a/a1   | a/a1 on y              |
      | x: a+a2 b+a3                             | a/a2 0.5, b/a3 0.1        | a/a1   | a/a1 on x for b/a3     |
      | x: a+a2 b+a3; y: a+a2 b+a1               | a/a2 0.5, b/a3 1, b/a1 1  | a/a1   | a/a1 on x or y for a/a2 |
      | x: a+a2 b+a3 just came                   | a/a2 0.5, b/a3 0.1        | a/a1   | none                   |

  Scenario Outline: One decision ahead of requests
    Given the adapter engines <engines>
    And the expected requests <rates>
    When engine x is looked at ahead of requests
    Then the adapter move is <move>

    Examples:
      | engines                     | rates                        | move               |
      | x: a b                      | nothing                      | none               |
      | x: a b                      | a/a1 0.2, b/a2 0.3           | b/a2 on x          |
      | x: a b busy                 | a/a1 0.2                     | none               |
      | x: a b; y: b+a2             | a/a1 0.2, b/a2 0.3           | a/a1 on x          |
      | x: a; y: b                  | b/a2 0.3                     | none               |
      | x: a+a1 b+a2                | a/a1 0.2, b/a2 0.3, b/a3 0.3 | none               |
      | x: a+a1 b+a2                | a/a1 0.1, b/a2 0.3, b/a3 0.3 | b/a3 on x for a/a1 |
      | x: a+a1 b+a2; y: b+a2       | a/a1 0.3, b/a2 0.3, b/a3 0.4 | b/a3 on x for b/a2 |
      | x: a+a1 b+a2 just came      | a/a1 0.1, b/a2 0.3, b/a3 0.3 | none               |

  Scenario: Places are filled ahead, and never passed
    Given a keeper of adapters and an engine that holds a and b
    When a/a2 is asked for 4 times and b/a1 once
    Then the engine soon holds a/a2, b/a1 and two more, and never more than its places

  Scenario: An adapter that requests wait for comes before the move of a model
    Given a keeper of adapters and an engine that holds a and b
    When an adapter is being placed
    Then the engine is not free for a model's move until it is there

  Scenario: Nothing is placed ahead while orders go unanswered, for each of them keeps its engine
    Given a keeper of adapters and an engine that holds a and b
    And its first order goes unanswered
    When a/a2 is asked for and requests wait for a/a1
    Then the engine holds a/a1, and nothing is placed ahead for a while
