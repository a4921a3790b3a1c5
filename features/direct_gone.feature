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
