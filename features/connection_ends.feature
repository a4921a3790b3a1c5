Feature: How a connection ends says what has become of its request

  # Guards against a target that runs a request which was given up: it takes an ordinary end for the end of the request.
  Scenario Outline: A run is given up by a reset, <why>
    Given a direct entry, and first a target whose process is stalled
    When a caller sends <request> with a body of <bytes> bytes, and <why>
    And the target goes on after <stall> ms
    Then the target sees that the request was reset

    Examples:
      | request                     | bytes   | why                       | stall |
      | a request that may run once | 2       | its time limit passes     | 50    |
      | a request that may run once | 2       | the caller leaves         | 50    |
      | a stream                    | 2       | the caller leaves         | 500   |
      | a request that may run once | 2       | the entry ends            | 500   |
      | an idempotent request       | 2       | another target answers    | 50    |
      | a request that may run once | 4000000 | its time limit passes     | 500   |
      | a request that may run once | 4000000 | the caller leaves         | 50    |

  # Guards against a reset of connections that carry no request, which a target may take for an entry's failure.
  Scenario: A connection without a request is closed in order
    Given a direct entry, and first a target whose process is stalled
    When the entry opens a connection to it and closes it unused
    Then the target sees the connection's end

  # Guards against an answer whose last bytes are still in the process as it ends.
  Scenario: A connection counts as open until the last byte of its answer has been sent
    Given a direct entry that is leaving, and a target with an answer of 7 MB
    When a caller reads the answer until the entry has written its end, and then no more
    Then the entry still counts its connection as open
    And it is closed once the caller has read the rest, which is whole

  # Guards against requests that an ending process has read and leaves unanswered, and against a reset for what has run.
  Scenario Outline: A process ends beside callers that use their connections until it is gone, <stalls> stalls, seed <seed>
    Given an entry process that has 2 s to end, before targets of a plain service
    When it is stopped 3 times beside 50 callers, and stalled <stalls> times about its end, with seed <seed>
    Then each request that it has read was answered
    And no request that its caller may send again has run

    Examples:
      | stalls | seed |
      | 0      | 1    |
      | 3      | 2    |
      | 6      | 3    |

  # Guards against an idle connection that is closed in order after its next request was read, or reset after that ran.
  Scenario: Requests are sent just as their idle connections are closed
    Given an entry process that closes connections after 400 ms without a request, before targets of a plain service
    When 50 callers send requests about 400 ms after their last ones for 8 s, and it is stalled 8 times, with seed 4
    Then each request that it has read was answered
    And no request that its caller may send again has run

  # Guards against a response of no request, or of an earlier one, that is taken for the proof that a request has not run.
  Scenario Outline: An extra response lies on a kept connection, <status> with <identity>, <moment>
    Given a direct entry, and a target that sends an extra "<status>" with "<identity>" <moment>
    When two requests that may run once are sent one after the other
    Then neither got an answer of another request, nor a promise that it has not run although it ran

    Examples:
      | status      | identity            | moment                       |
      | 503 not run | the earlier ID      | before the second is sent    |
      | 503 not run | no ID               | before the second is sent    |
      | 421         | no ID               | before the second is sent    |
      | 200         | no ID               | before the second is sent    |
      | 200         | the earlier ID      | before the second is sent    |
      | 503 not run | the earlier ID      | before the second one's      |
      | 503 not run | no ID               | before the second one's      |
      | 421         | no ID               | before the second one's      |
      | 200         | no ID               | before the second one's      |
      | 200         | the earlier ID      | before the second one's      |

  # Guards against a request that is sent, and then may have run, on a connection that its target has ended.
  Scenario Outline: A target uses its kept connection while the entry is stalled: it <does>
    Given a kept connection of an entry to a target
    When the target <does> and a request comes before the entry's event loop has run
    Then the request is sent on <which> connection

    Examples:
      | does                    | which    |
      | closes it               | another  |
      | resets it               | another  |
      | sends an extra response | another  |
      | does nothing            | the same |
