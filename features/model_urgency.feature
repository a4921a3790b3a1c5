Feature: Models are held by how long their callers can wait
  Engines have room for three models. A load takes 9 s from the weight store and 2 s from disk.

  Scenario Outline: When a model that no engine holds would be ready
    Given the engines <engines>
    And the demand <demand>
    When loads are forecast, <rate>
    Then the forecast is <forecast>

    Examples:
      | engines                                   | demand               | rate              | forecast        |
      | x: a b c                                  | nothing              | the store is free | nothing         |
      | x: a b c                                  | a 3000               | the store is free | nothing         |
      | x: a b c; y: d e f; z: loads g            | g waits 1            | the store is free | nothing         |
      | x: a b c limited; y: d e f                | a waits 1            | the store is free | nothing         |
      | x: a b c                                  | g waits 1            | the store is free | g 9090          |
      | x: a b c free in 500 ms                   | g waits 1            | the store is free | g 9590          |
      | x: a b c just came                        | g waits 1            | the store is free | g 9790          |
      | x: a b c disk g free in 500 ms            | g waits 1            | the store is free | g 2590          |
      | x: a b c disk g h                         | g waits 5, h waits 1 | the store is free | g 2090, h 4180  |
      | x: a b c disk g h; y: d e f disk g h      | g waits 5, h waits 1 | the store is free | g 2090, h 2090  |
      | x: a b c                                  | g waits 1            | the store is not  | g 9646          |
      | x: a b c; y: d e f                        | g waits 5, h waits 1 | the store is free | g 9090, h 18180 |
      | x: a b c leaving                          | g waits 1            | the store is free | g -1            |
      | x: loads g                                | nothing              | the store is free | nothing         |
      | x: loads g disk h                         | h waits 1            | the store is free | h 11000         |

  Scenario: What was requested a moment ago is forecast for its next caller
    Given the engines x: a b c disk g h
    And the demand h waits 1
    And over a longer time g 300 tokens a second are asked for
    When loads are forecast, the store is free
    Then the forecast is h 2090, g 4180

  Scenario Outline: What is sent of a forecast, <case>
    Given entries were sent the forecast <before>
    When the forecast becomes <now>
    Then they are sent <sent>

    Examples:
      | case                         | before       | now          | sent         |
      | a model enters               | nothing      | g 2000       | g 2000       |
      | little has changed           | g 2000       | g 2400       | nothing      |
      | over a fifth longer          | g 2000       | g 2401       | g 2401       |
      | over a fifth sooner          | g 2000       | g 1599       | g 1599       |
      | it won't be loaded any more  | g 2000       | g -1         | g -1         |
      | it still won't be loaded     | g -1         | g -1         | nothing      |
      | it will be loaded after all  | g -1         | g 2000       | g 2000       |
      | a model leaves               | g 2000, h 90 | h 90         | g 0          |
