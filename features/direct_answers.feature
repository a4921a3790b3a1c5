Feature: An entry that reaches targets directly gives each caller its own whole answer
  Guards against lost, repeated and foreign responses; the first target is faulty, the second one sound.

  Scenario Outline: A request meets a faulty target
    Given a direct entry before a target that <fault> and a sound one
    When the direct caller sends <request>
    Then the direct caller gets <answer>
    And the first target ran it <first> times and the second one <second> times

    Examples: requests that may run again
      | request               | fault                         | answer      | first | second |
      | an idempotent request | answers                       | its answer  | 1     | 0      |
      | an idempotent request | refuses it as not run         | its answer  | 0     | 1      |
      | an idempotent request | is another one by now         | its answer  | 0     | 1      |
      | an idempotent request | is not there                  | its answer  | 0     | 1      |
      | an idempotent request | fails it                      | its answer  | 1     | 1      |
      | an idempotent request | closes without an answer      | its answer  | 1     | 1      |
      | an idempotent request | says nothing                  | its answer  | 1     | 1      |
      | an idempotent request | sends what is no answer       | its answer  | 1     | 1      |
      | an idempotent request | answers another request first | its answer  | 1     | 0      |
      | an idempotent request | names a time of 5000 digits   | its answer  | 1     | 0      |
      | an idempotent request | lacks the proof               | its answer  | 1     | 1      |
      | an idempotent request | encodes the answer            | its answer  | 1     | 1      |
      | an idempotent request | cuts the answer               | its answer  | 1     | 1      |

    Examples: requests that may run once
      | request                     | fault                         | answer        | first | second |
      | a request that may run once | answers                       | its answer    | 1     | 0      |
      | a request that may run once | refuses it as not run         | its answer    | 0     | 1      |
      | a request that may run once | is another one by now         | its answer    | 0     | 1      |
      | a request that may run once | is not there                  | its answer    | 0     | 1      |
      | a request that may run once | fails it                      | the failure   | 1     | 0      |
      | a request that may run once | closes without an answer      | no promise    | 1     | 0      |
      | a request that may run once | sends what is no answer       | no promise    | 1     | 0      |
      | a request that may run once | answers another request first | its answer    | 1     | 0      |
      | a request that may run once | lacks the proof               | no promise    | 1     | 0      |
      | a request that may run once | cuts the answer               | no promise    | 1     | 0      |

    Examples: streams
      | request            | fault                     | answer         | first | second |
      | a resumable stream | answers                   | all its events | 1     | 0      |
      | a resumable stream | closes without an answer  | all its events | 1     | 1      |
      | a resumable stream | cuts between events       | all its events | 1     | 1      |
      | a resumable stream | cuts inside an event      | all its events | 1     | 1      |
      | a resumable stream | leaves an event out       | all its events | 1     | 1      |
      | a resumable stream | leaves one out of a piece | all its events | 1     | 1      |
      | a resumable stream | stalls                    | all its events | 1     | 1      |
      | a stream           | answers without events    | its answer     | 1     | 0      |
      | a stream           | refuses it as not run     | all its events | 0     | 1      |
      | a stream           | closes without an answer  | no promise     | 1     | 0      |
      | a stream           | cuts between events       | a broken end   | 1     | 0      |
      | a stream           | cuts inside an event      | a broken end   | 1     | 0      |

  # Guards against events that come twice after a resumption, since nothing tells them apart.
  Scenario: A stream is not resumed after an event without an id
    Given a direct entry before a target that cuts after an event without an id and a sound one
    When the direct caller sends a resumable stream
    Then the direct caller gets a broken end after events without ids
    And the first target ran it 1 times and the second one 0 times

  Scenario Outline: A slow target isn't given up while there is no other one, <request> that <fault>
    Given a direct entry before only a target that <fault>
    When the direct caller sends <request>
    Then the direct caller gets <answer>
    And the only target ran it once

    Examples:
      | request               | fault             | answer         |
      | a resumable stream    | pauses            | all its events |
      | an idempotent request | is slow to answer | its answer     |

  Scenario: Only what may be passed on reaches the target
    Given a direct entry before a target that answers and a sound one
    When the direct caller, with headers of its own for the system, sends one
    Then the direct target got the request's own headers and the system's, and what time is left

  # Guards against a Connection header that strips what the request needs, so that it can't be sent.
  Scenario Outline: A caller's Connection header doesn't strip what describes its request, <name>
    Given a direct entry before a target that answers and a sound one
    When the direct caller names <name> in its Connection header
    Then the direct caller gets its answer
    And the direct target got the caller's <name>

    Examples:
      | name            |
      | Host            |
      | X-Request-Id    |
      | X-Model         |
      | X-Token-Counts  |
      | X-Prompt-Prefix |

  Scenario Outline: A caller that leaves ends the work at the target at once
    Given a direct entry before a target that <fault> and a sound one
    When the direct caller leaves 100 ms after it sent <request>
    Then the first target's connection is closed within 500 ms

    Examples:
      | request                     | fault        |
      | a request that may run once | says nothing |
      | an idempotent request       | says nothing |
      | a resumable stream          | stalls       |

  Scenario Outline: What an entry can't serve is answered at once
    Given a direct entry before a target that answers and a sound one
    When the direct caller sends <what>
    Then the direct caller gets the bare status <status>

    Examples:
      | what                     | status |
      | a path that no route has | 404    |
      | a head that is no request | 400   |
      | a head over the limit    | 431    |
      | a body over the limit    | 413    |
      | a length and also chunks | 200    |

  # Guards against a body in the response to HEAD, whose refusal ended the connection.
  Scenario Outline: A refusal of a HEAD request is whole, and its connection goes on, <what>
    Given a direct entry before a target that answers and a sound one
    When a caller asks the entry by HEAD for <what>, and then an idempotent request
    Then the direct caller gets the bare status <status> without a body
    And the direct caller gets its answer on the same connection

    Examples:
      | what                     | status |
      | a path that no route has | 404    |
      | an idempotent request    | 200    |

  Scenario: Before it knows a configuration an entry promises that nothing has run
    Given a direct entry that knows no configuration
    When the direct caller sends an idempotent request
    Then the direct caller gets status 503 at once, code 2005
    And the answer says when to come back

  Scenario: A leaving entry answers what still waits for a model
    Given a direct entry whose engines don't hold the model
    When the direct caller waits for the model and the entry is told to leave
    Then within 1000 ms, before the entry ends, its status is 503

  Scenario Outline: A leaving entry takes what it surely ends, <case>
    Given a direct entry before a target that answers and a sound one
    And requests of its routes have lasted <lasted>
    And the balancer has noticed that it leaves, it ends in <left> ms, and <others> stay
    When the direct caller sends an idempotent request
    Then the direct caller gets the bare status <status>
    And if it was refused, it may come back after <least> to <most> ms

    Examples:
      | case                              | lasted       | left | others | status | least | most |
      | short requests                    | 50 ms        | 3000 | 0      | 200    | 0     | 0    |
      | short requests, others are there  | 50 ms        | 3000 | 2      | 200    | 0     | 0    |
      | too late even for short ones      | 50 ms        | 40   | 0      | 503    | 900   | 1400 |
      | long requests                     | 2800 ms      | 2500 | 2      | 503    | 10    | 100  |
      | long requests, nobody else there  | 2800 ms      | 200  | 0      | 503    | 1000  | 1400 |
      | not surely short enough           | 800 ms       | 2000 | 2      | 503    | 10    | 100  |
      | unlike each other                 | 50 or 900 ms | 1000 | 2      | 503    | 10    | 100  |
      | nothing is known of the route     | never yet    | 3000 | 2      | 503    | 10    | 100  |
      | time enough for any               | never yet    | 4500 | 2      | 200    | 0     | 0    |

  Scenario Outline: A leaving entry takes streams only while nobody else is there
    Given a direct entry before a target that answers and a sound one
    And requests of its routes have lasted 50 ms
    And the balancer has noticed that it leaves, it ends in 3000 ms, and <others> stay
    When the direct caller sends a stream
    Then the direct caller gets the bare status <status>

    Examples:
      | others | status |
      | 0      | 200    |
      | 1      | 503    |

  Scenario Outline: A leaving entry ends early once nobody needs it
    Given a direct entry before a target that answers and a sound one
    And requests of its routes have lasted 50 ms
    And the balancer has noticed that it leaves, it ends in 5000 ms, and <others> stay
    Then the leaving entry is <needed>

    Examples:
      | others | needed   |
      | 0      | needed   |
      | 1      | needless |
