Feature: An engine never gets more than it has room for, however late its orders are carried out
  The real coordinator orders simulated engines in virtual time. An order that an engine leaves unanswered
  is carried out at the moment, within 12 s, at which it does the most harm.

  # Guards against a coordinator that has forgotten a predecessor's, or its own, unanswered orders.
  Scenario Outline: A load of a model is unanswered, then <event>
    Given an engine with room for three models that has accepted three orders and leaves a load unanswered
    When after it <event>
    And three models are wanted that leave no room for the unanswered one
    Then no engine was ordered to hold more than it has room for

    Examples:
      | event                                                                              |
      | nothing happens                                                                    |
      | the engine starts again                                                            |
      | its registration lapses and the engine starts again                                |
      | its registration lapses, comes back and the engine starts again                    |
      | another entry coordinates and the engine starts again                              |
      | the engine starts again and another entry coordinates                              |
      | the coordinator starts again and the engine starts again                           |
      | the engine starts again and the coordinator starts again                           |
      | two other entries coordinate in turn, its registration lapses and the engine starts again |

  # The same in any order of these events.
  Scenario Outline: Generated plays, <engines> engines and <models> models
    Then in <plays> generated plays from seed <seed>, <engines> engines and <models> models, none is ordered to hold more than it has room for

    Examples:
      | engines | models | plays | seed |
      | 1       | 5      | 100   | 0    |
      | 2       | 8      | 60    | 0    |
      | 1       | 5      | 30    | 1360 |
