Feature: An entry closes no connection on which a request has arrived
  An entry that was stalled, by its machine or by other work, finds a request and the end of a timeout at once.

  # Guards against a whole request that is closed without an answer, as its timeout ends at the same moment.
  Scenario Outline: A request that arrives while its entry is stalled is answered, <what>
    Given a direct entry that closes connections after <idle_ms> ms without a request and <head_ms> ms inside a head
    When a caller sends <what> while the entry is stalled for 400 ms
    Then the direct caller gets its answer

    Examples:
      | what                        | idle_ms | head_ms |
      | a request                   | 200     | 3000    |
      | the second part of its head | 15000   | 200     |
      | its body                    | 200     | 3000    |

  # Guards against a reset of a connection whose request the entry has not read yet.
  Scenario: A leaving entry answers a request that arrives as it closes idle connections
    Given a direct entry that closes connections after 15000 ms without a request and 3000 ms inside a head
    When a caller sends a request just before the entry closes idle connections
    Then the direct caller gets its answer

  # Guards against a request that is sent on a connection which is closed already, but still looks open.
  Scenario: A caller sees at once that its idle connection is closed
    Given a direct entry that closes connections after 15000 ms without a request and 3000 ms inside a head
    When the entry closes idle connections and is stalled
    Then the caller sees the end of its connection meanwhile

  Scenario: A connection without a request is closed in time
    Given a direct entry that closes connections after 200 ms without a request and 3000 ms inside a head
    When a caller sends nothing
    Then the idle connection was closed after 150 to 1000 ms
