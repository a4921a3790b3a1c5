Feature: A target that sends bytes without end that are no answer is cut off

  # Guards against memory that grows, and against requests that wait, for as long as a target sends bytes.
  Scenario Outline: <way> without end, <pace>, <request>
    Given a direct entry, a target that sends <way> without end, <pace>, and a sound one
    When a caller sends <request> to an endless target
    Then the endless target's caller gets <answer> within <most> ms
    And the target was cut off within <kib> KiB, and counts as failing

    Examples: Bytes that come as fast as they are read
      | way                          | pace    | request                     | answer             | most | kib   |
      | header bytes                 | at once | an idempotent request       | the sound answer   | 1000 | 2000  |
      | header bytes                 | at once | a request that may run once | 502 with code 3001 | 1000 | 2000  |
      | header bytes                 | at once | a resumable stream          | all events         | 1000 | 2000  |
      | headers                      | at once | an idempotent request       | the sound answer   | 1000 | 2000  |
      | interim responses            | at once | an idempotent request       | the sound answer   | 1000 | 2000  |
      | interim responses            | at once | a request that may run once | 502 with code 3001 | 1000 | 2000  |
      | interim responses            | at once | a resumable stream          | all events         | 1000 | 2000  |
      | responses to another request | at once | an idempotent request       | the sound answer   | 1000 | 2000  |
      | a body                       | at once | an idempotent request       | the sound answer   | 3000 | 16000 |
      | a body                       | at once | a request that may run once | 502 with code 3001 | 3000 | 16000 |
      | a body                       | at once | a resumable stream          | all events         | 1000 | 4000  |
      | a body without a length      | at once | an idempotent request       | the sound answer   | 3000 | 16000 |
      | a body of an error           | at once | a request that may run once | 502 with code 3001 | 3000 | 16000 |
      | a body of a rejection        | at once | a request that may run once | the sound answer   | 1000 | 2000  |
      | a chunk extension            | at once | an idempotent request       | the sound answer   | 1000 | 2000  |
      | a chunk extension            | at once | a resumable stream          | all events         | 1000 | 2000  |
      | chunk extensions             | at once | an idempotent request       | the sound answer   | 1000 | 4000  |
      | chunk extensions             | at once | a request that may run once | 502 with code 3001 | 1000 | 4000  |
      | chunk extensions             | at once | a resumable stream          | all events         | 1000 | 4000  |
      | trailers                     | at once | an idempotent request       | the sound answer   | 1000 | 2000  |
      | trailers                     | at once | a resumable stream          | all events         | 1000 | 2000  |
      | an event                     | at once | a resumable stream          | all events         | 2000 | 6000  |
      | an event                     | at once | a stream                    | a broken stream    | 2000 | 6000  |
      | an old event                 | at once | a resumable stream          | all events         | 3000 | 6000  |
      | comments                     | at once | a resumable stream          | all events         | 2000 | 4000  |
      | comments before an event     | at once | a resumable stream          | all events         | 2000 | 4000  |
      | bytes after the answer       | at once | an idempotent request       | the sound answer   | 1000 | 2000  |
      | bytes after the answer       | at once | a request that may run once | the sound answer   | 1000 | 2000  |

    # Guards against bounds on bytes alone, which a slow target keeps for as long as its caller waits.
    Examples: Bytes that come slowly
      | way                          | pace   | request                     | answer             | most | kib  |
      | header bytes                 | slowly | an idempotent request       | the sound answer   | 1000 | 2000 |
      | header bytes                 | slowly | a request that may run once | 502 with code 3001 | 1800 | 2000 |
      | interim responses            | slowly | an idempotent request       | the sound answer   | 1000 | 2000 |
      | interim responses            | slowly | a request that may run once | 502 with code 3001 | 1800 | 2000 |
      | a body                       | slowly | an idempotent request       | the sound answer   | 1000 | 2000 |
      | a body                       | slowly | a request that may run once | 504 with code 3003 | 4300 | 2000 |
      | a body of a rejection        | slowly | a request that may run once | the sound answer   | 1000 | 2000 |
      | a chunk extension            | slowly | an idempotent request       | the sound answer   | 1000 | 2000 |
      | trailers                     | slowly | a resumable stream          | all events         | 3000 | 2000 |
      | an event                     | slowly | a resumable stream          | all events         | 3000 | 2000 |
      | an old event                 | slowly | a resumable stream          | all events         | 3000 | 2000 |
      | comments                     | slowly | a resumable stream          | all events         | 3000 | 2000 |
      | comments before an event     | slowly | a resumable stream          | all events         | 3000 | 2000 |

  # Guards against calls of engines that never return, and against all that they read being kept.
  Scenario Outline: A call of an engine that responds with <way> without end, <pace>, ends in time
    Given a target that sends <way> without end, <pace>
    When an engine's report is asked for there
    Then there is no report within 700 ms
    And the target was cut off within <kib> KiB

    Examples:
      | way               | pace    | kib   |
      | header bytes      | at once | 2000  |
      | interim responses | at once | 2000  |
      | a body            | at once | 16000 |
      | chunk extensions  | at once | 4000  |
      | header bytes      | slowly  | 2000  |
      | interim responses | slowly  | 2000  |
      | a body            | slowly  | 2000  |

  # Guards against memory that a store's answer fills until the call's time is over.
  Scenario: A call of the object API that responds with a body without end ends
    Given a target that sends a body without a length without end, at once
    When an object is asked for there
    Then the store counts as unavailable
    And the target was cut off within 40000 KiB
