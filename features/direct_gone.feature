Feature: A target that is silent for a moment isn't taken as gone

  # Guards against rejections by a sound engine's entry, which kept it unused for seconds because several connections to
  # it had failed at once.
  Scenario Outline: An engine that accepts no connections for a moment serves what came meanwhile, <requests> at once
    Given a direct entry before only an engine that accepts no connections for 1000 ms
    When <requests> callers send it a resumable stream at once
    Then each of them gets all its events

    Examples:
      | requests |
      | 1        |
      | 4        |

  # Guards against a target that is gone and costs each of many requests the time of a vain attempt to connect.
  Scenario: A target that stays out of reach is tried again after longer and longer pauses
    Given a target to which 4 connections at once fail whenever it is tried
    Then it is left alone for 400, 800, 1600 and 3000 ms

  # Guards against a target's answer that isn't read for as long as the target doesn't read the request.
  Scenario: A target answers a long request before it reads it
    Given a direct entry, and only a target that answers at once and reads requests after 3000 ms
    When a caller sends it a request that may run once with a long body
    Then it gets its answer within 1000 ms

  # Guards against a connection that ends although its target is there, since it hasn't read a long request for a while.
  Scenario Outline: A target reads nothing of a long request for a moment, <request>
    Given a direct entry, and only a target that reads requests after <silent> ms
    When a caller sends it <request> with a long body
    Then it gets its answer within 4000 ms

    Examples:
      | request                     | silent |
      | a request that may run once | 1200   |
      | a request that may run once | 2000   |
      | a request that may run once | 3000   |
      | an idempotent request       | 3000   |
      | a stream                    | 3000   |

  # Guards against a wait for a target that reads nothing while another one could answer.
  Scenario: A long request that may run again is sent elsewhere if its target reads nothing
    Given a direct entry, a target that reads requests after 10000 ms and a sound one
    When a caller sends it an idempotent request with a long body
    Then it gets its answer within 2500 ms

  # Guards against a longer wait for machines that are gone than a long request needs.
  Scenario Outline: How long a connection lives while its target's machine acknowledges nothing, <when>
    Given a connection to a sound target
    When a request with a body of <bytes> bytes <when> on it
    Then it ends after <ms> ms without an acknowledgement

    Examples:
      | bytes   | when              | ms   |
      | 1000    | has been sent     | 1500 |
      | 1000000 | has been sent     | 4000 |
      | 1000000 | is being answered | 1500 |

  # Guards against models that are taken as gone, and loaded in place of others, since their engine was silent for a second.
  Scenario Outline: An engine whose machine is there sends no report for <silent> ms
    Given an engine that reports, and its controller
    When it sends no report for <silent> ms
    Then its models were never taken as gone
    And its state is known again within 500 ms

    Examples:
      | silent |
      | 600    |
      | 1200   |
      | 2000   |
      | 3000   |

  # Guards against a rejection, and the loss of another model's place, since the model's only engine was silent.
  Scenario: A request for a model whose only engine is silent waits for the engine
    Given an entry that coordinates two engines, the first of which alone holds the model
    When the first is silent for 2000 ms, and a stream for the model comes 1300 ms after it fell silent
    Then its caller gets all events, and the second engine got no order

  # Guards against an engine that keeps requests although its machine is gone, or although it is silent for long.
  Scenario Outline: An engine that is gone, <case>
    Given an engine that reports, and its controller
    When it <case> for 6000 ms
    Then its models were taken as gone within <most> ms

    Examples:
      | case                 | most |
      | refuses connections  | 700  |
      | acknowledges nothing | 1300 |
      | sends no report      | 4500 |

  # Guards against a crash that is counted against the requests of a target which is only silent.
  Scenario Outline: A target loses a connection and then <behaviour>
    Given a direct entry and a target that <behaviour>
    When a connection to the target is lost with a request at it
    Then <count> crashes of the target are known

    Examples:
      | behaviour                         | count |
      | accepts connections and is silent | 0     |
      | acknowledges nothing              | 0     |
      | refuses connections               | 1     |
