Feature: What a silent target's backup must not cost
  Found by a review of the backups; time is virtual. Routes have an objective of 0.8 s and a gap objective of 0.4 s.

  # Guards against a run that ends the other one by an end of the stream that it then can't prove.
  Scenario: The end of a stream that nothing proves leaves its backup to prove it
    Given a stream whose first target marks its framing and breaks off, and 3 runs at most
    When the second target sends the rest without a mark, is silent, and closes beside a backup
    Then the caller of the stream gets all of it, and its end

  # Guards against sound services whose requests are run twice, and use up the retries of others.
  Scenario Outline: A service that answers within its objective runs each request once, <count> requests
    When <count> idempotent requests come <gap> s apart to <targets> targets that take 0.5 s
    Then each is answered, and ran once

    Examples:
      | count | gap | targets |
      | 1     | 1   | 2       |
      | 40    | 0.2 | 4       |

  # Guards against a passing refusal of the backup in place of the answer that the first run gives later.
  Scenario Outline: A run that is only silent isn't given up for a status <status> of its backup, <kind>
    Given a route that allows 3 runs, and another target that fails it with <status>
    When the target of <kind> is silent for 3 s before the head
    Then its caller gets the whole answer, each part once

    Examples:
      | status | kind                  |
      | 408    | a resumable stream    |
      | 429    | a resumable stream    |
      | 429    | an idempotent request |

  # Guards against an engine that counts as silent because a caller of its streams doesn't read.
  Scenario: A caller that doesn't read keeps no others from its engine
    When a caller doesn't read its stream, and 8 other streams come to 2 engines
    Then both engines run some of the others

  # Guards against requests that are sent to the address of a process that has gone.
  Scenario: A target that starts again elsewhere while it is probed is reached at its new address
    When a target is registered again at another address while a probe connects to it
    Then its connections are opened to its new address
