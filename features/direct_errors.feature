Feature: An unexpected error in an entry leaves no caller without an answer
  A request that was read whole ends with an answer, a rejection or a reset, and a line in the log.

  # Guards against a connection that is closed without an answer, and without a line in the log.
  Scenario Outline: An unexpected error is answered and logged, <when>
    Given a direct entry before a sound target, and an unexpected error <when>
    When a caller sends <request>, and another one on the same connection
    Then the first answer has status 500 and code 3999, and the second one is the target's
    And the sound target ran the first request <runs> times
    And the log names the first request, the error and its place
    And the entry has returned what the first request had taken, and spent <spent> of the quota

    Examples:
      | request                     | when                       | runs | spent |
      | a request that may run once | as it is admitted          | 0    | 0     |
      | an idempotent request       | before it is sent          | 0    | 0     |
      | a request that may run once | before it is sent          | 0    | 0     |
      | a request that may run once | once its target has run it | 1    | 1     |
      | a stream                    | once its target has run it | 1    | 1     |

  # Guards against a cancelled wait of the entry that counts as a caller that has left.
  Scenario: A request whose wait in the entry is cancelled is answered
    Given a direct entry before a sound target, and a cancelled wait
    When a caller sends a request that may run once, and another one on the same connection
    Then the first answer has status 500 and code 3999, and the second one is the target's
    And the entry has returned what the first request had taken, and spent 0 of the quota

  # Guards against a rejection by the codec that counts as a caller that has left.
  Scenario: An answer that can't be encoded is broken off and logged
    Given a direct entry before a sound target, and a codec that rejects a body
    When a caller sends a stream
    Then the stream is broken off before its first event
    And the log has one line of code 3999 for it that names LocalProtocolError

  # Guards against a connection that is closed without an answer as its request is read.
  Scenario: An unexpected error while a request is read is answered and logged
    Given a direct entry before a sound target, and an unexpected error while a request is read
    When a caller sends an idempotent request
    Then the direct caller gets status 500 at once, code 3999
    And the log tells once why the connection has failed

  # Guards against a response that was begun and ends as if it were complete.
  Scenario: An unexpected error in the middle of a stream breaks it off
    Given a direct entry before a sound target, and an unexpected error in the middle of a stream
    When a caller sends a stream
    Then the stream is broken off after whole events
    And the log names the first request, the error and its place
    And the entry has returned what the first request had taken, and spent 1 of the quota

  # Guards against a complete answer whose connection is closed for an error that follows it.
  Scenario: An unexpected error after a complete answer doesn't end the connection
    Given a direct entry before a sound target, and an unexpected error after an answer
    When a caller sends an idempotent request, and another one on the same connection
    Then both answers are the target's
    And the log names the first request, the error and its place

  # Guards against numbers of callers that no float, and no message to another entry, can hold.
  Scenario Outline: A number that can't be a count of tokens is ignored, <header> of <digits> digits
    Given a direct entry before a target that answers and a sound one
    When a caller sends <digits> digits as <header>
    Then the direct caller gets its answer
    And the entry can report to its coordinator

    Examples:
      | header                         | digits |
      | the prompt's tokens            | 25     |
      | the prompt's tokens            | 400    |
      | the prompt's tokens            | 5000   |
      | the output's tokens            | 400    |
      | the output's tokens            | 5000   |
      | the tokens of a prompt's part  | 5000   |

  # Guards against the promise that a request hasn't run, though its target may have run it.
  Scenario Outline: A request that may have run isn't refused as not run while its turn ends, <ended>
    Given a direct entry before a target that closes without an answer and a sound one
    And the end of a suspected request's turn takes 300 ms
    When a caller sends a request that may run once, and in that time <ended>
    Then the direct caller gets no promise

    Examples:
      | ended                 |
      | its time limit passes |
      | its entry ends        |

  # Guards against a number that Python refuses to read, which ended its request as an error of the entry.
  Scenario Outline: A number of any length is no error of the entry, <header>
    Given a direct entry before a target that answers and a sound one
    When a caller sends 5000 digits as <header>
    Then the direct caller gets its answer

    Examples:
      | header                     |
      | its time limit             |
      | the last event that it has |
