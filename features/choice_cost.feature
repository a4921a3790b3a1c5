Feature: A choice among hundreds of engines takes little time

  # Guards against an engine that is ruled out although a choice by all costs could take it.
  Scenario: Engines are drawn as if all costs were computed
    Then among any engines, those that can be drawn are the ones in reach of the lowest cost

  # Guards against a choice that holds up an entry's other requests.
  Scenario Outline: The time of a choice among many engines
    Given 365 engines of which <holders> hold the model, and <state>
    Then the engine for a request is chosen in less than <most> ms

    Examples:
      | holders | state          | most |
      | 365     | all are loaded | 0.5  |
      | 365     | all are idle   | 0.5  |
      | 22      | all are loaded | 0.2  |
