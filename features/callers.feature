Feature: Callers reach the entry over HTTP
  Guards against invalid input reaching the dispatcher, truncated answers that look complete, and
  callers that block others.

  Background:
    Given a caller server

  Scenario Outline: A bad chat body is refused by number
    When a caller posts chat body <body>
    Then the caller server answers <status> with error <name> and outcome not_run
    And the caller server handed nothing to the dispatcher

    Examples:
      | body                                                                  | status | name           |
      | {                                                                     | 400    | MALFORMED_JSON |
      | (nothing)                                                             | 400    | MALFORMED_JSON |
      | [1]                                                                   | 400    | MALFORMED_JSON |
      | {"model": NaN}                                                        | 400    | MALFORMED_JSON |
      | (invalid UTF-8)                                                       | 400    | MALFORMED_JSON |
      | (lone surrogate)                                                      | 400    | MALFORMED_JSON |
      | (100000 open brackets)                                                | 400    | MALFORMED_JSON |
      | {"messages": [{"role": "user", "content": "x"}]}                      | 400    | BAD_REQUEST    |
      | {"model": 3, "messages": [{"role": "user", "content": "x"}]}          | 400    | BAD_REQUEST    |
      | {"model": "", "messages": [{"role": "user", "content": "x"}]}         | 400    | BAD_REQUEST    |
      | {"model": "m"}                                                        | 400    | BAD_REQUEST    |
      | {"model": "m", "messages": []}                                        | 400    | BAD_REQUEST    |
      | {"model": "m", "messages": ["x"]}                                     | 400    | BAD_REQUEST    |
      | {"model": "m", "messages": [{"content": "x"}]}                        | 400    | BAD_REQUEST    |
      | {"model": "m", "messages": [{"role": "user"}]}                        | 400    | BAD_REQUEST    |
      | {"model": "m", "messages": [{"role": "u", "content": "x"}], "stream": 1}        | 400 | BAD_REQUEST |
      | {"model": "m", "messages": [{"role": "u", "content": "x"}], "max_tokens": 0}    | 400 | BAD_REQUEST |
      | {"model": "m", "messages": [{"role": "u", "content": "x"}], "max_tokens": true} | 400 | BAD_REQUEST |
      | {"model": "m", "messages": [{"role": "u", "content": "x"}], "max_tokens": 1.5}  | 400 | BAD_REQUEST |
      | (over the limit)                                                      | 413    | BODY_TOO_LARGE |
      | (over the limit, chunked)                                             | 413    | BODY_TOO_LARGE |
      | (bad chunk size)                                                      | 400    | BAD_REQUEST    |
      | (shorter than its length)                                             | 400    | BAD_REQUEST    |
      | (length and chunked)                                                  | 400    | BAD_HEADER     |
      | (negative length)                                                     | 400    | BAD_HEADER     |

  Scenario Outline: A bad header is refused by number
    When a caller sends a good chat request with header <header>
    Then the caller server answers 400 with error BAD_HEADER and outcome not_run
    And the caller server handed nothing to the dispatcher

    Examples:
      | header                         |
      | Idempotency-Key:               |
      | Idempotency-Key: a b           |
      | Idempotency-Key: ñ             |
      | Idempotency-Key: (256 letters) |
      | X-Mimosaspur-Idempotent: yes   |
      | X-Mimosaspur-Idempotent: True  |
      | X-Deadline-Ms: 0               |
      | X-Deadline-Ms: -1              |
      | X-Deadline-Ms: 5001            |
      | X-Deadline-Ms: soon            |
      | X-Priority: 10                 |
      | X-Priority: -1                 |
      | X-Priority: 1.0                |

  Scenario Outline: An unknown path is refused by number
    When a caller asks <method> <path>
    Then the caller server answers 404 with error NOT_FOUND and outcome not_run
    And the caller server handed nothing to the dispatcher

    Examples:
      | method | path                 |
      | GET    | /                    |
      | GET    | /v1/chat/completions |
      | POST   | /v1/models           |
      | DELETE | /healthz             |
      | GET    | /services/bookings   |
      | GET    | /services//x         |

  Scenario Outline: Headers tell the dispatcher how to treat a request
    When a caller sends <method> <path> with headers <headers>
    Then the caller server handed over idempotent <idempotent>, key <key>, priority <priority> and deadline <deadline>

    Examples:
      | method | path                 | headers                                            | idempotent | key    | priority | deadline |
      | POST   | /v1/chat/completions | (none)                                             | true       | (none) | 5        | 2000     |
      | POST   | /v1/chat/completions | X-Mimosaspur-Idempotent: false                     | false      | (none) | 5        | 2000     |
      | POST   | /v1/chat/completions | Idempotency-Key: k; X-Mimosaspur-Idempotent: true  | false      | k      | 5        | 2000     |
      | POST   | /v1/chat/completions | X-Priority: 0; X-Deadline-Ms: 5000                 | true       | (none) | 0        | 5000     |
      | GET    | /services/b/x?y=%20  | X-Priority: 9; X-Deadline-Ms: 1                    | true       | (none) | 9        | 1        |
      | HEAD   | /services/b/x        | (none)                                             | true       | (none) | 5        | 2000     |
      | POST   | /services/b/x        | (none)                                             | false      | (none) | 5        | 2000     |
      | PUT    | /services/b/x        | X-Mimosaspur-Idempotent: true                      | true       | (none) | 5        | 2000     |
      | DELETE | /services/b/x        | Idempotency-Key: k                                 | false      | k      | 5        | 2000     |

  Scenario Outline: The prefix is the start of the first message's text
    When a caller asks with content <content>
    Then the caller server handed over prefix <prefix>

    Examples:
      | content                                                  | prefix       |
      | "gate 4"                                                 | gate 4       |
      | (100 letters)                                            | (64 letters) |
      | [{"type": "image"}, {"type": "text", "text": "gate 5"}]  | gate 5       |
      | [{"type": "image"}]                                      | (none)       |

  Scenario: A service's path and query come through as sent
    When a caller asks GET /services/book%20ings/a%2Fb/c?d=%20e
    Then the caller server handed over service book ings with path /a%2Fb/c?d=%20e

  Scenario Outline: An answer comes whole
    Given the caller server's dispatcher answers <chunks> chunks
    When a caller asks for a <way> answer
    Then the caller gets all <chunks> chunks by <framing>
    And the caller server closed the answer's chunks
    And the caller server has nothing in flight

    Examples:
      | way      | chunks | framing        |
      | whole    | 1      | Content-Length |
      | whole    | 50     | Content-Length |
      | streamed | 1      | chunked        |
      | streamed | 50     | chunked        |

  Scenario: Two requests follow each other on one connection
    When a caller sends a chunked request and a second one on the same connection
    Then the caller gets two whole answers

  Scenario: A replayed answer says so
    Given the caller server's dispatcher replays its answer
    When a caller asks for a whole answer
    Then the caller sees header Idempotent-Replayed: true

  Scenario Outline: An answer that fails is told as an error
    Given the caller server's dispatcher fails with <name> after <chunks> chunks
    When a caller asks for a <way> answer
    Then the caller server answers <status> with error <name> and outcome <outcome>
    And the caller server has nothing in flight

    Examples:
      | way      | chunks | name            | status | outcome |
      | whole    | 0      | QUEUE_FULL      | 503    | not_run |
      | whole    | 3      | ANSWER_CUT      | 502    | unknown |
      | whole    | 3      | DEADLINE_PASSED | 504    | unknown |
      | streamed | 0      | ANSWER_CUT      | 502    | unknown |
      | whole    | 0      | INTERNAL        | 500    | unknown |

  Scenario Outline: A stream that is cut never looks whole
    Given the caller server's dispatcher fails with <name> after 3 chunks
    When a caller asks for a streamed answer
    Then the caller gets 3 chunks, then error <name>, and no end of the stream
    And the caller server has nothing in flight

    Examples:
      | name       |
      | ANSWER_CUT |
      | INTERNAL   |

  Scenario Outline: Refusals say when to come back
    Given the caller server's dispatcher refuses with <name> and <retry> ms
    When a caller asks for a whole answer
    Then the caller sees Retry-After <header> and retry_after_ms <body>

    Examples:
      | name                 | retry | header | body   |
      | NO_READY_TARGET      | no    | 1      | 1000   |
      | DEADLINE_UNREACHABLE | no    | 1      | 1000   |
      | QUEUE_FULL           | 1     | 1      | 1      |
      | QUEUE_FULL           | 1001  | 2      | 1001   |
      | UNKNOWN_MODEL        | no    | (none) | (none) |
      | OUTCOME_UNKNOWN      | no    | (none) | (none) |

  Scenario Outline: A caller that leaves ends the work
    Given the caller server's dispatcher <state>
    When a caller leaves in the middle of a <way> answer
    Then the caller server closed the answer's chunks
    And the caller server has nothing in flight

    Examples:
      | way      | state            |
      | streamed | never ends       |
      | whole    | never ends       |
      | streamed | waits for `gone` |
      | whole    | waits for `gone` |

  Scenario: A pipelined request doesn't look like a caller that left
    Given the caller server's dispatcher answers 1 chunks
    When a caller sends two requests at once
    Then the caller gets two whole answers

  Scenario: Surplus work is refused at once and health checks still answer
    Given the caller server's dispatcher holds its answers
    And callers fill the caller server
    When a caller asks for a whole answer
    Then the caller server answers 503 with error QUEUE_FULL and outcome not_run
    And the caller sees Retry-After 1 and retry_after_ms 1000
    And the caller server answers 200 at /healthz
    And the caller server answers 200 at /readyz

  Scenario: An entry that isn't ready says so
    Given the caller server's dispatcher is not ready
    Then the caller server answers 503 at /readyz
    And the caller server answers 200 at /healthz

  Scenario: Models are listed
    When a caller asks GET /v1/models
    Then the caller sees the models llama, llama-es

  Scenario: Silent connections don't hold up others
    Given callers open 20 connections and stay silent
    Then the caller server answers 200 at /healthz
    And the caller server closes the silent connections

  Scenario: Callers that stop within a body don't hold up health checks
    Given callers stop within a body on as many connections as may be in flight
    Then the caller server answers 200 at /healthz

  Scenario: A stop lets a stream under way end
    Given the caller server's dispatcher holds its answers
    And a caller has begun a streamed answer
    When the caller server is told to stop with 5000 ms of grace
    Then the caller server refuses new connections
    And the caller that had begun gets its whole stream once it is let go
    And the caller server's threads end

  Scenario: A stop gives up what outlasts the grace
    Given the caller server's dispatcher waits for `gone`
    And a caller has begun a streamed answer
    When the caller server is told to stop with 50 ms of grace
    Then the caller server's threads end
    And the caller that had begun sees no end of the stream
