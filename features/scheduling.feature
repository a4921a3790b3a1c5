Feature: Requests are ordered when there isn't room for all of them

  # Guards against requests that are held for a model that can't be ready in time, and against
  # refusals of requests whose model may still come.
  Scenario Outline: How long a request would wait for a model that loads in 1000 ms at least, <known>
    Given a coordinator that tells of the model: <known>
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
      | nothing, and has loaded another model too late | 1000 | 1000  |
      | loaded in 700                                 | 5000 | 700   |
      | loaded in 700, 400 ms ago                     | 5000 | 300   |
      | loaded in 700, 900 ms ago                     | 5000 | 0     |
      | loaded in 700, forecast -1                    | 5000 | 700   |
      | forecast 900                                  | 5000 | 900   |
      | forecast 900, 100 ms ago                      | 5000 | 800   |
      | forecast 900, 9000 ms ago                     | 5000 | 420   |
      | forecast 900, by a clock that has jumped back | 5000 | 900   |
      | forecast -1                                   | 0    | never |
      | forecast -1, 9000 ms ago                      | 0    | never |
      | forecast -1, which is withdrawn               | 999  | 1000  |

  Scenario: A request that has come back after a refusal waits while its model may come
    Given a coordinator that tells of the model: nothing, though it knew of the request
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
    And the next report counts 0 requests for the model as waiting and 1 as refused
    And 1 request is counted as rejected early

    Examples:
      | told                       | least | most | from | to   |
      | that it won't be loaded    | 0     | 150  | 1000 | 1250 |
      | that it is ready in 9000 ms | 0     | 150  | 1283 | 1334 |

  # Guards against callers that wait in vain without a sign of it for operators.
  Scenario Outline: A refusal after over an eighth of the objective of <objective> ms is counted, <what>
    Given an entry of a site without the model, whose loads take 1 s, without "<without>"
    And its coordinator forecasts <told>
    And its routes have an objective of <objective> ms
    When a stream of the model is requested, and an engine that is full for long holds it after <after> ms
    Then it is refused with <code>, and counted as rejected late <times> with that code

    Examples:
      | what              | without   | told                    | objective | after | code | times |
      | its model is late | deferral  | that it won't be loaded | 300       | 1000  | 2002 | once  |
      | held in vain      | deferral  | that it won't be loaded | 300       | 2500  | 2003 | once  |
      | held for less     | deferral  | that it won't be loaded | 9600      | 1000  | 2002 | never |
      | refused early     | even-load | that it won't be loaded | 8000      | 1000  | 2003 | never |

  # Guards against models that are never loaded since all their requests are refused.
  Scenario: A refused request counts as waiting for a coordinator that sends no forecasts
    Given an entry of a site without the model, whose loads take 3 s
    And its coordinator sends no forecasts
    When a stream of the model is requested
    Then it is answered 503 with code 2003 after 0 to 150 ms, to return after 1283 to 1334 ms
    And the next report counts 1 request for the model as waiting and 1 as refused
    And the request counts as waiting until its caller returns

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

  Scenario: A request that comes after the loss of the coordinator waits as before
    Given an entry of a site without the model, whose loads take 1 s
    And its coordinator forecasts that it won't be loaded
    When the coordinator is lost
    And a stream of the model is requested, and an engine holds it after 1200 ms
    Then it is served

  # Guards against refusals at the coordinator's own entry, which goes on while the store is slow.
  Scenario: The coordinator may give no orders for a moment while a request waits
    Given an entry of a site without the model, whose loads take 1 s
    And its coordinator forecasts that it is ready in 1200 ms
    When a stream of the model is requested while its coordinator may give no orders, and an engine holds it after 1200 ms
    Then it is served

  # Guards against requests that can wait but take an engine from urgent ones, and against requests
  # that are held for nothing.
  Scenario Outline: A request that can wait is sent unless it delays more urgent ones, <engine>, <seen>
    Given an engine with 64 slots that <engine>
    And <seen> of rank 2 with an objective of 500 ms and 2000 prompt tokens has come for its other model
    When a request of rank <rank> with an objective of <objective> ms comes
    Then it is <decision>

    Examples:
      | engine                              | seen                        | rank | objective | decision        |
      | is idle                             | a request                   | 2    | 8000      | sent            |
      | runs 20 and reads 4000 tokens       | a request                   | 2    | 8000      | sent            |
      | runs 20 and reads 12000 tokens      | a request                   | 2    | 8000      | held for urgent |
      | runs 20 and reads 12000 tokens      | a request                   | 3    | 500       | sent            |
      | runs 20 and reads 12000 tokens      | a request                   | 3    | 8000      | held for urgent |
      | runs 20 and reads 12000 tokens      | a request                   | 1    | 8000      | sent            |
      | runs 20 and reads 12000 tokens      | a request                   | 2    | 500       | sent            |
      | runs 20 and reads 12000 tokens      | no request                  | 2    | 8000      | sent            |
      | runs 20 and reads 12000 tokens      | a request, 40 s ago,        | 2    | 8000      | sent            |
      | runs 20 and reads 12000 tokens      | a request that is always late | 2  | 8000      | sent            |
      | runs 55 and reads 0 tokens          | a request                   | 2    | 8000      | sent            |
      | runs 56 and reads 0 tokens          | a request                   | 2    | 8000      | held for slots  |
      | runs 56 and reads 0 tokens          | no request                  | 2    | 8000      | sent            |

  Scenario: A request that can wait goes to an engine at which it delays nobody
    Given an engine with 64 slots that runs 20 and reads 12000 tokens
    And another engine with the model, which runs 30 and reads 2000 tokens
    And a request of rank 2 with an objective of 500 ms and 2000 prompt tokens has come for its other model
    When a request of rank 2 with an objective of 8000 ms comes
    Then it is sent to the other engine

  Scenario: A request goes where it is on time rather than where it delays nobody
    Given an engine with 64 slots that runs 20 and reads 12000 tokens
    And another engine with the model, which runs 30 and is slow
    And a request of rank 2 with an objective of 500 ms and 2000 prompt tokens has come for its other model
    When a request of rank 2 with an objective of 8000 ms comes, and has been held for 7200 ms
    Then it may be sent to either

  # Guards against a request that is held back for those which are held back for it.
  Scenario: A request doesn't wait for a less urgent kind that is due sooner
    Given an engine with 64 slots that runs 20 and reads 2000 tokens
    And a request of rank 2 with an objective of 500 ms and 2000 prompt tokens has come for its other model
    And a request of rank 2 with an objective of 8000 ms is held that is due in 1000 ms
    When a request of rank 2 with an objective of 1500 ms comes
    Then it is sent

  Scenario: Requests that are held go in the order of priority, time left and share
    Given an engine with 64 slots that runs 56 and reads 0 tokens
    And a request of rank 2 with an objective of 500 ms and 2000 prompt tokens has come for its other model
    And workspace "north" was recently served 9000 tokens, and "south" 2000
    When these requests are held, each with an objective of 8000 ms
      | name | rank | due_ms | workspace |
      | a    | 3    | 1000   | south     |
      | b    | 2    | 6000   | south     |
      | c    | 2    | 3000   | north     |
      | d    | 2    | 3100   | south     |
      | e    | 2    | 3300   | south     |
    And the engine has room
    Then they are sent in the order d c e b a

  # Guards against requests that never get their turn while more urgent ones come all the time.
  Scenario Outline: No request is starved, <objective> ms, <rivals> before it
    Given an engine with 64 slots that runs 60 and reads 12000 tokens
    And a request of rank 2 with an objective of 500 ms and 2000 prompt tokens has come for its other model
    And <rivals> requests that go before it are held for ever
    When a request of rank 3 with an objective of <objective> ms comes and the engine stays full
    Then it is sent after <most> ms at the latest, and on time if it takes twice as long as predicted

    Examples:
      | objective | rivals | most |
      | 8000      | 0      | 6000 |
      | 8000      | 300    | 6000 |
      | 2500      | 300    | 1875 |
      | 1500      | 0      | 1125 |
      | 800       | 0      | 0    |

  # Guards against requests that are held until their callers' own time limit, rather than sent.
  Scenario Outline: A request with an objective of 8000 ms is held for a part of its time limit of <limit> ms
    Given an engine with 64 slots that runs 60 and reads <tokens> tokens
    And a request of rank 2 with an objective of 500 ms and 2000 prompt tokens has come for its other model
    When a request of rank 3 with a time limit of <limit> ms comes and the engine stays full
    Then it is sent after <most> ms at the latest, and on time if it takes twice as long as predicted

    Examples:
      | limit | tokens | most |
      | 9000  | 12000  | 6000 |
      | 4000  | 12000  | 3000 |
      | 1000  | 2000   | 750  |

  Scenario: A stream with a short time limit is held at an entry for a part of it
    Given an entry before an engine that is full by other entries' work
    And an urgent stream of its model has been served
    When a patient stream with a time limit of 1000 ms is requested, and the engine stays full
    Then it is served after 300 to 850 ms

  Scenario: A request that can wait is held at an entry until there is room
    Given an entry before an engine that is full by other entries' work
    And an urgent stream of its model has been served
    When a patient stream is requested, and the engine has room after 400 ms
    Then it is served after 400 to 600 ms
    And a line "deferred" names it, for "slots", and 1 request is counted as deferred

  Scenario: Without the mechanism nothing is held
    Given an entry before an engine that is full by other entries' work, without "deferral"
    And an urgent stream of its model has been served
    When a patient stream is requested, and the engine has room after 400 ms
    Then it is served after 0 to 300 ms

  # Guards against requests that stay held for work of which nobody tells any more.
  Scenario: The coordinator is lost while a request is held
    Given an entry before an engine that is full by other entries' work
    And an urgent stream of its model has been served
    When a patient stream is requested, and the coordinator is lost after 400 ms
    Then it is served after 400 to 600 ms

  Scenario: A choice among many engines beside many held requests takes little time
    Given 365 engines with the model, all full, and 200 requests that are held
    And a request of rank 2 with an objective of 500 ms and 2000 prompt tokens has come for its other model
    Then one decision takes less than 0.5 ms for the 22 engines that hold a model
