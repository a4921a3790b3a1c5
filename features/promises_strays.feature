Feature: A rejection proves that a request has not run only if it answers the send it follows

  # Guards against a promise, and a second run, by a copy of an earlier rejection that comes on a kept connection.
  Scenario Outline: A target's rejection comes once more as <request> is sent to it again
    Given a direct entry before a target that rejects the first request on a connection, and rejects it once more before it runs the next
    When the target gets <request> from a caller
    Then the request has run once at most, and never if its caller was told that it has not run

    Examples:
      | request                     |
      | a request that may run once |
      | a stream                    |

  # Guards against a promise by a rejection that doesn't name the request, which targets do.
  Scenario Outline: A rejection without the request's ID comes before <request> runs
    Given a direct entry before a target that sends a rejection without an ID before it runs a request
    When the target gets <request> from a caller
    Then the request has run once at most, and never if its caller was told that it has not run

    Examples:
      | request                     |
      | a request that may run once |
      | a stream                    |

  # Guards against a promise that no target gave: callers send the request again, and it runs twice.
  Scenario Outline: A target answers <status> without stating that it has not run <request>
    Given a direct entry before a target that answers with <status> and has run the request
    When the target gets <request> from a caller
    Then its caller is answered <answer>

    Examples:
      | status | request                     | answer |
      | 503    | a request that may run once | 502    |
      | 429    | a request that may run once | 502    |
      | 408    | a stream                    | 502    |
      | 429    | an idempotent request       | 429    |
      | 404    | a request that may run once | 404    |
