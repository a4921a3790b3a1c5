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
      | x: a b c; y: d e f                        | g waits 5, h waits 1 | the store is free | g 9090, h 16180 |
      | x: a b c leaving                          | g waits 1            | the store is free | g -1            |
      | x: loads g                                | nothing              | the store is free | nothing         |
      | x: loads g disk h                         | h waits 1            | the store is free | h 11000         |

  Scenario: What was requested a moment ago is forecast for its next caller
    Given the engines x: a b c disk g h
    And the demand h waits 1
    And over a longer time g 300 tokens a second are asked for
    When loads are forecast, the store is free
    Then the forecast is h 2090, g 4180

  # Guards against refusals of requests for models that the limit on a forecast's cost leaves out: with
  # 365 engines, those were all but five.
  Scenario: Models beyond the limit on the loads tried wait for those before
    Given the engines x: a b c disk g h
    And the demand g waits 5, h waits 1
    When one model at most is tried as loads are forecast
    Then the forecast is g 2090, h 2090

  # Guards against refusals by forecasts that are longer than what then happens.
  Scenario: Forecasts are not much longer than the loads that are then decided
    Given 22 engines, 24 models that requests wait for, and demand that stays as it is
    When loads are forecast in 8 random states, and then decided
    Then at least 80 of 100 forecasts are at most 1.2 times as long as the wait, and half at most 1.05

  # Guards against models that wait for others in a forecast, although nobody waits for those.
  Scenario: A model is forecast for its next caller as for one that waits
    Given 22 engines, 24 models that requests wait for, and demand that stays as it is
    When a request comes for one of 20 models that were requested a moment ago
    Then none of their forecasts changes by over a fifth

  Scenario Outline: What a forecast becomes with the one before it, <case>
    Given the last forecast was <before>
    When the newest forecast is <newest>
    Then what entries are told is <told>

    Examples:
      | case                                  | before | newest  | told    |
      | a model enters                        | h 90   | g 18000 | g 18000 |
      | sooner                                | g 1900 | g 1500  | g 1500  |
      | later, which may be for a moment      | g 1500 | g 18000 | g 1500  |
      | later twice                           | g 18000 | g 18500 | g 18000 |
      | it won't be loaded, perhaps           | g 1500 | g -1    | g 1500  |
      | it won't be loaded, confirmed         | g -1   | g -1    | g -1    |
      | it will be loaded after all           | g -1   | g 18000 | g 18000 |

  Scenario Outline: What is sent of a forecast, <case>
    Given entries were sent the forecast <before>
    When the forecast becomes <now>
    Then they are told as <sent>

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

  Scenario Outline: One decision where callers differ in urgency, <case>
    Given the engines <engines>
    And callers ask for <callers>
    When the next load is decided by urgency
    Then <decision>

    Examples:
      | case                                      | engines                          | callers                                                                  | decision             |
      | patient demand leaves urgent models       | x: a b c disk g                  | a b c urgent 300; g patient waits 50                                     | nothing is loaded    |
      | patient demand takes a patient model      | x: a b c disk g                  | a b urgent 300; c patient 9000; g patient waits 1                        | g replaces c on x    |
      | urgent demand takes patient models first  | x: a b c disk g                  | a b urgent 300; c patient 9000; g urgent waits 1                         | g replaces c on x    |
      | even if their engine loads more slowly    | x: a b c disk g; y: d e f        | a b c d e urgent 300; f patient 9000; g urgent waits 1                   | g replaces f on y    |
      | no patient model is left                  | x: a b c disk g                  | a c urgent 9000; b urgent 300; g urgent waits 1                          | g replaces b on x    |
      | nobody asks for a model                   | x: a b c disk g                  | a c urgent 300; g patient waits 1                                        | g replaces b on x    |
      | urgent demand goes first                  | x: a b c disk g h                | g patient waits 50 for 9000 ms; h urgent waits 1; a b urgent 300         | h replaces c on x    |
      | a later deadline waits                    | x: a b c disk g h                | g patient waits 9 for 100 ms; h patient waits 1 for 4000 ms; a b urgent 300 | h replaces c on x |
      | refused requests count for a first load   | x: a b c disk g                  | a b urgent 300; g patient rejected 2                                     | g replaces c on x    |
      | refused urgent ones go first              | x: a b c disk g h                | a b urgent 300; g patient waits 9; h urgent rejected 1                   | h replaces c on x    |
      | a lower priority counts for less          | x: a b c disk g h                | a b urgent 300; g urgent waits 3 priority 3; h urgent waits 2            | h replaces c on x    |
      | but gains by waiting                      | x: a b c disk g h                | a b urgent 300; g urgent waits 3 for 3000 ms priority 3; h urgent waits 2 | g replaces c on x   |
      | one patient load at a time is enough      | x: loads g; y: d e f disk h; z: disk a | g patient waits 1; h patient waits 1                               | nothing is loaded    |
      | which holds up no urgent one              | x: loads g; y: d e f disk h      | g patient waits 1; h urgent waits 1; d e urgent 300                      | h replaces f on y    |
      | the earliest deadline is being loaded     | x: loads e; y: a b c disk g h; z: a b c; u: a b c; v: a b c; w: a b c | e patient waits 1 for 5000 ms; g patient waits 1 for 1000 ms; h patient waits 5 for 100 ms; a b urgent 300 | h replaces c on y |
      | an urgent model has a replica to spare    | x: a b c disk g; y: a d e        | a b c d e urgent 300; g patient waits 1                                  | g replaces a on x    |
      | it needs both replicas                    | x: a b c disk g; y: a d e        | a urgent 9000; b c d e urgent 300; g patient waits 1                     | nothing is loaded    |
      | an extra replica for patient demand       | x: a b c; y: d e f disk a        | a patient 30000; d e f urgent 300                                        | nothing is loaded    |
      | its replica has the capacity              | x: a b c; y: d e f disk a        | a urgent 8000; b c d e f urgent 3000                                     | nothing is loaded    |
      | urgent demand exceeds its replica's capacity | x: a b c; y: d e f disk a     | a urgent 40000; b c d e f urgent 3000                                    | a replaces f or e or d on y |
      | an extra replica for urgent demand        | x: a b c; y: d e f disk a        | a urgent 30000; d e f patient 300                                        | a replaces f or e or d on y |

  Scenario: A new coordinator doesn't yet know what is asked of models that engines hold
    Given the engines x: a b c disk g h
    And callers ask for g patient waits 3; h urgent waits 1
    When the next load is decided by urgency, before held demand is known
    Then h replaces a or b or c on x
    When nobody waits for h any more
    And the next load is decided by urgency, before held demand is known
    Then nothing is loaded

  Scenario Outline: A replica on a slow engine serves less, <case>
    Given the engines <engines>
    And the demand <demand>
    And engines read prompts in <factors> times the usual time
    When the next load is decided, the store is free
    Then the load is <decision>

    Examples:
      | case                                    | engines                                          | demand  | factors             | decision |
      | all engines are alike                   | x: a b c; y: d e f disk a                        | a 6500  | x 1.0, y 1.0        | none     |
      | the model's engine is slow              | x: a b c; y: d e f disk a                        | a 6500  | x 1.7, y 1.0        | a on y   |
      | the other one is as slow                | x: a b c; y: d e f disk a                        | a 6500  | x 1.7, y 1.7        | none     |
      | an extra replica goes to a fast engine  | x: a b c; y: d e f disk a; z: d e f disk a       | a 20000 | x 1, y 0.7, z 1.7   | a on y   |
      | and in whatever order they are known    | x: a b c; y: d e f disk a; z: d e f disk a       | a 20000 | x 1, y 1.7, z 0.7   | a on z   |
      | a factor that can't be                  | x: a b c; y: d e f disk a                        | a 20000 | x 0, y 1.0          | a on y   |

  Scenario Outline: When a model would be ready, by urgency
    Given the engines <engines>
    And callers ask for <callers>
    When loads are forecast by urgency
    Then the forecast is <forecast>

    Examples:
      | engines                            | callers                                                     | forecast        |
      | x: a b c disk g                    | a b c urgent 300; g patient waits 1                         | g -1            |
      | x: a b c disk g                    | a b c urgent 300; g urgent waits 1                          | g 2090          |
      | x: a b c disk g h                  | a b urgent 300; g patient waits 9; h urgent waits 1         | h 2090, g -1    |
      | x: a b c disk g h                  | a urgent 300; g patient waits 9; h urgent waits 1           | h 2090, g 4180  |
      | x: a b c disk g; y: d e f disk h   | g patient waits 1 for 500 ms; h patient waits 1             | g 2090, h 4180  |
      | x: a b c disk g                    | a b urgent 300; g patient rejected 1                        | g 2090          |
      | x: a b loads e disk g h free in 1000 ms; y: a c d disk g h; z: a b f; u: a b f; v: a b f; w: a b f | a b f urgent 30000; e patient waits 1 for 5000 ms; g patient waits 9; h patient waits 5 | g 2090, h 3790 |
      | x: a b c disk g; y: a b d disk h; z: a b f; u: a b f; v: a b f; w: a b f | a b f urgent 30000; g patient waits 1; h patient waits 1 | g 2090, h 2090 |
      | x: a b c disk g; y: a b d disk h; z: a b f; u: a b f; v: a b f; w: a b f | a b f urgent 30000; g patient waits 1; h patient 300 | g 2090, h 2090 |

  Scenario: The search that leaves engines out decides like the full one
    Then in 300 random states a pruned search by urgency decides like a full one

  Scenario: Patient demand isn't starved while a place without urgent demand exists
    Given 3 engines whose 9 places hold 8 models with steady urgent demand
    And 4 models that patient callers ask for, nine of them for all but one, again as soon as they were served
    When loads are decided for 120 s
    Then no model with urgent demand was unloaded
    And no patient caller waited longer than 12000 ms for a load

  Scenario: A burst of patient demand is loaded a few places at a time
    Given 12 engines whose 36 places hold 20 models with steady urgent demand
    And 30 models that patient callers ask for, once
    When loads are decided for 40 s
    Then no model with urgent demand was unloaded
    And at most 4 engines loaded models at once, and all 30 models were loaded once

  Scenario Outline: Requests differ in urgency only by what routes and workspaces say, <case>
    Given routes with the objectives <objectives> and the priorities <priorities>
    Then their service's callers differ in urgency: <differ>

    Examples:
      | case                            | objectives  | priorities | differ |
      | all alike                       | 500, 500    | 0, 0       | no     |
      | none can wait for a load        | 500, 2500   | 0, 0       | no     |
      | all can wait for a load         | 9500, 12000 | 0, 0       | no     |
      | one can wait, another can't     | 500, 12000  | 0, 0       | yes    |
      | priorities                      | 500, 500    | 0, 1       | no     |

  Scenario: Refused requests count until their callers no longer return
    Given an entry that refused a request for "g" with a time limit of 12000 ms
    Then its next report tells of 1 refused request, and the one after it of none
    And 3900 ms after the refusal the first report to a new coordinator tells of 1
    And 4100 ms after the refusal the first report to a new coordinator tells of none

  Scenario Outline: A refused request counts if no engine holds its model, <case>
    Given a direct entry whose engine holds "<held>"
    When a caller asks for the model "<asked>" and is refused
    Then the entry's next report tells of <rejected>

    Examples:
      | case              | held | asked | rejected                                 |
      | none holds it     | a    | g     | 1 refused request, waiting for 300 ms    |
      | an engine has it  | a    | a     | nothing refused                          |

  Scenario: The coordinator changes while loads wait
    Given entries whose urgent callers were refused for "h" and whose patient callers wait for "g"
    When one coordinator decides alone, and when another one follows it after the first load
    Then both times the same models were loaded for the same reasons
    And an entry without a coordinator has no forecast

  Scenario: The mechanism is switched off
    Given entries whose urgent callers were refused for "h" and whose patient callers wait for "g"
    When a coordinator decides with the mechanism model-urgency switched off
    Then refused requests and urgency don't count, and nothing is forecast
