Feature: Requests are ordered when there isn't room for all of them

  # Guards against requests that are held for a model that can't be ready in time, and against
  # refusals of requests whose model may still come.
  Scenario Outline: How long a request would wait for a model that no engine holds, <known>
    Given a coordinator that tells of the model: <known>
    And a model that loads in 1000 ms at least
    When a request with an objective of 8000 ms has been held for <held> ms
    Then its model is expected in <wait> ms

    Examples:
      | known                                         | held | wait  |
      | nothing                                       | 0    | 1000  |
      | nothing                                       | 1000 | 1000  |
      | nothing, since it has just begun              | 5000 | 0     |
      | nothing, as there is none                     | 5000 | 0     |
      | nothing, though it knew of the request        | 999  | 1000  |
      | nothing, though it knew of the request        | 1000 | never |
      | nothing, and has loaded another model too late | 1000 | never |
      | loaded in 700                                 | 5000 | 700   |
      | loaded in 700, forecast -1                    | 5000 | 700   |
      | forecast 900                                  | 5000 | 900   |
      | forecast 900, 400 ms ago                      | 5000 | 500   |
      | forecast 900, 1400 ms ago                     | 5000 | 0     |
      | forecast 900, 9000 ms ago                     | 999  | 1000  |
      | forecast -1                                   | 0    | never |
      | forecast -1, 9000 ms ago                      | 999  | 1000  |
      | forecast -1, 9000 ms ago                      | 1000 | never |
      | forecast -1, by a clock that has jumped back  | 0    | never |

  Scenario: A request that has come back after a refusal waits while its model may come
    Given a coordinator that tells of the model: nothing, though it knew of the request
    And a model that loads in 1000 ms at least
    When a request with an objective of 8000 ms has been held for 1000 ms, after it was refused before
    Then its model is expected in 1000 ms

  # Guards against callers that all return at the same moment, or before they can be served.
  Scenario: Callers are told to return at different times, none before its model is ready
    Then 1000 callers of a model that is ready in 800 ms are told 800 to 1000 ms, not all the same

  Scenario Outline: An entry refuses what can't be served as soon as it knows, <told>
    Given an entry of a site without the model, whose loads take 1 s
    And its coordinator forecasts <told>
    When a stream of the model is requested
    Then it is answered 503 with code 2003 after <least> to <most> ms, to return after <from> to <to> ms
    And the next report counts 1 request for the model as waiting and 1 as refused
    And the request counts as waiting until its caller returns
    And 1 request is counted as rejected early

    Examples:
      | told                       | least | most | from | to   |
      | that it won't be loaded    | 0     | 150  | 1000 | 1250 |
      | that it is ready in 2500 ms | 0     | 150  | 1333 | 1334 |

  Scenario: Without the mechanism requests wait as before
    Given an entry of a site without the model, whose loads take 1 s, without "deferral"
    And its coordinator forecasts that it won't be loaded
    When a stream of the model is requested
    Then it is answered 503 with code 2003 after 1800 to 2200 ms, to return after 0 to 1334 ms

  Scenario: A request waits for a load that is forecast in time
    Given an entry of a site without the model, whose loads take 1 s
    And its coordinator forecasts that it is ready in 1200 ms
    When a stream of the model is requested, and an engine holds it after 1200 ms
    Then it is served

  # Guards against forecasts that outlive the coordinator that made them.
  Scenario: The coordinator is lost while a request waits, and before another one comes
    Given an entry of a site without the model, whose loads take 1 s
    And its coordinator forecasts that it is ready in 1200 ms
    When a stream of the model is requested, and the coordinator is lost after 300 ms
    And another stream of the model is requested, and an engine holds it after 900 ms
    Then both are served
