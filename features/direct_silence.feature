Feature: A sound target that falls silent and goes on costs no answer
  A request runs at one of two targets, which falls silent; time is virtual. Its route has an objective of 0.8 s and a gap objective of 0.4 s.

  # Guards against a stream that is broken off before another target is sure to take it on.
  Scenario Outline: A stream isn't cut, written for <written> s, silent <duration>, the other <other>, <runs> runs
    Given a route that allows <runs> runs, and another target that <other>
    When a resumable stream has been written for <written> s, and its engine is silent <duration>
    Then its caller gets the whole answer, each part once
    And no pause of the answer lasts longer than its caller waits
    And it runs at most as often as its route allows, and each retry that was spent was sent

    Examples:
      | written | duration  | other             | runs |
      | 4       | for 0.5 s | is free           | 3    |
      | 4       | for 1 s   | is free           | 3    |
      | 4       | for 1.5 s | is free           | 3    |
      | 4       | for 1.5 s | is free           | 2    |
      | 4       | for 1.5 s | is busy           | 3    |
      | 4       | for 1.5 s | refuses it        | 3    |
      | 4       | for 1.5 s | fails it with 500 | 3    |
      | 4       | for 1.5 s | fails it with 503 | 2    |
      | 4       | for 1.5 s | is silent as well | 3    |
      | 4       | for 1.5 s | is not there      | 3    |
      | 4       | for 3 s   | is free           | 3    |
      | 4       | for 3 s   | refuses it        | 2    |
      | 4       | for 3 s   | is silent as well | 2    |
      | 1       | for 1.5 s | is free           | 3    |
      | 1       | for 1.5 s | is busy           | 3    |
      | 1       | for 1.5 s | refuses it        | 3    |
      | 1       | for 1.5 s | refuses it        | 2    |
      | 1       | for 3 s   | fails it with 500 | 2    |
      | 1       | for 3 s   | is silent as well | 3    |

  # Guards against a stream that stays with a target which is gone.
  Scenario Outline: A stream leaves a target that never speaks again, written for <written> s
    Given a route that allows 2 runs, and another target that is free
    When a resumable stream has been written for <written> s, and its engine is silent for ever
    Then its caller gets the whole answer, each part once
    And no pause of the answer lasts longer than its caller waits
    And it runs at most as often as its route allows, and each retry that was spent was sent

    Examples:
      | written |
      | 0.3     |
      | 1       |
      | 4       |

  # Guards against a stream that waits for a target which can't go on as long as for one that can.
  Scenario: A stream leaves a target that is out of reach earlier than one that is only silent
    Given a route that allows 2 runs, and another target that is free
    When a stream written for 4 s is at an engine that goes out of reach
    Then its caller gets the whole answer, each part once
    And no pause of the answer lasts longer than 1.6 s

  # Guards against requests that are sent to a target which answers nothing at present.
  Scenario Outline: New requests pass over a silent target, <kind>
    Given a route that allows 3 runs, and another target that is free
    When the target of <kind> has been silent for 0.5 s after <stage>, and 6 others come
    Then the others are answered whole, and begin within their objective
    And its caller gets the whole answer, each part once

    Examples:
      | kind                  | stage            |
      | a resumable stream    | its first second |
      | an idempotent request | it began to run  |

  # Guards against a stream that is cut at once while its model is loaded again.
  Scenario Outline: A stream goes on where its model is loaded again, written for <written> s, after <later> s
    Given a route that allows 3 runs, and another target that is free
    When a stream written for <written> s loses its engine, and its model is loaded after <later> s
    Then its caller gets the whole answer, each part once
    And no pause of the answer lasts longer than its caller waits

    Examples:
      | written | later |
      | 0.3     | 1     |
      | 4       | 0.5   |
      | 4       | 2     |

  # Guards against a stream that has not begun and is left for a target that doesn't take it.
  Scenario Outline: A stream begins after a silence <duration> before <stage>, the other <other>, <runs> runs
    Given a route that allows <runs> runs, and another target that <other>
    When the target of a resumable stream is silent <duration> before <stage>
    Then its caller gets the whole answer, each part once
    And it runs at most as often as its route allows, and each retry that was spent was sent

    Examples:
      | stage           | duration  | other             | runs |
      | the head        | for 0.2 s | refuses it        | 2    |
      | the head        | for 1.5 s | refuses it        | 3    |
      | the head        | for 3 s   | refuses it        | 2    |
      | the head        | for 3 s   | refuses it        | 3    |
      | the head        | for 3 s   | fails it with 500 | 2    |
      | the head        | for 3 s   | is silent as well | 2    |
      | the first event | for 3 s   | is free           | 3    |
      | the first event | for 3 s   | refuses it        | 2    |
      | the first event | for 3 s   | fails it with 503 | 2    |

  # Guards against the error of another target in place of the answer that the first one gives later.
  Scenario Outline: A whole answer comes after a silence of <late> s past the objective, the other <other>, <runs> runs
    Given a route that allows <runs> runs, and another target that <other>
    When the target of an idempotent request is silent until <late> s after the objective
    Then its caller gets the whole answer, each part once
    And it runs at most as often as its route allows, and each retry that was spent was sent

    Examples:
      | late | other             | runs |
      | 0.2  | fails it with 500 | 2    |
      | 1.5  | fails it with 500 | 2    |
      | 3    | fails it with 500 | 2    |
      | 3    | fails it with 500 | 3    |
      | 0.2  | fails it with 503 | 2    |
      | 1.5  | fails it with 503 | 2    |
      | 3    | fails it with 503 | 2    |
      | 1.5  | refuses it        | 2    |
      | 3    | refuses it        | 3    |
      | 3    | is silent as well | 2    |
      | 3    | is free           | 2    |

  # Guards against a second run of a request that may run once, and against an answer that is given up.
  Scenario Outline: A request that may run once waits for its target, silent <duration> before <stage>
    Given a route that allows 3 runs, and another target that is free
    When the target of a request that may run once is silent <duration> before <stage>
    Then its caller gets the whole answer, each part once
    And it ran once

    Examples:
      | stage           | duration  |
      | the head        | for 0.2 s |
      | the head        | for 1.5 s |
      | the head        | for 3 s   |
      | the second half | for 3 s   |
