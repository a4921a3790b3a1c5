Feature: No caller gets as complete what a target broke off

  # Guards against taking the end of a target's connection for the end of its response.
  Scenario Outline: A response that its target broke off isn't completed by the entry, <path>
    Given 2 entry processes before targets that frame and end responses in every way
    When the requests of <path> are answered in every way
    Then no caller got as complete what wasn't, or content of another answer
    And nothing that isn't known to be complete was marked as complete
    And whole answers reached their callers, marked if the target that began them marks its end
    And streams that may be resumed were completed where their targets were known to break off
    And no request that may run once ran twice

    Examples:
      | path   |
      | stream |
      | single |
      | safe   |
      | once   |

  # Guards against marking a stream as complete when the target that took it up marks no end.
  Scenario: Two targets that have nothing after the same event prove that it was the last one
    Given 2 entry processes before targets that frame and end responses in every way
    When a stream in chunks is broken off and taken up by targets that mark no end
    Then its caller got all of it, marked as complete, after 3 runs

  # Guards against a connection that is closed as if its response were complete when its entry ends.
  Scenario Outline: A stream without a mark at its end is reset when its entry ends, by <signal>
    Given 2 entry processes before targets that frame and end responses in every way
    When an entry gets <signal> while it forwards a stream without a mark at its end
    Then the stream's caller sees a reset after whole events

    Examples:
      | signal  |
      | SIGKILL |
      | SIGTERM |

  # Guards against a close that a caller without chunks takes for the end of a broken stream.
  Scenario Outline: A caller that knows no chunks can tell a broken stream from a whole one, <stream>
    Given 2 entry processes before targets that frame and end responses in every way
    When a caller that speaks HTTP/1.0 gets <stream>
    Then its connection <ends>

    Examples:
      | stream                         | ends                       |
      | a stream in chunks             | is closed after all events |
      | a stream that is broken off    | is reset                   |

  # Guards against event ends that are missed or seen where there are none.
  Scenario: Any stream that is cut anywhere passes on its whole events, once
    Then any stream that is cut into pieces and broken off anywhere passes on its whole events, once

  # Guards against a list that is cut short and read as targets that are gone.
  Scenario: Answers of the store and of engines that are cut short are not read
    Given a store and an engine whose answers have no length and can be cut anywhere
    Then no list, watch, lease or report that is cut short is read
