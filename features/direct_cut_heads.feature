Feature: An entry takes no response of a target whose head is cut

  # Guards against the end of a connection inside a head that is taken for the end of the head: a success with an
  # empty body, framed as whole.
  Scenario Outline: No caller gets an answer of a target whose response ended in its head, <path>, <targets> targets
    Given 2 entry processes before <targets> targets whose responses' heads are cut
    When the first responses to requests of <path>, framed by length, are cut in their heads
    And the first responses to requests of <path>, framed by chunks, are cut in their heads
    And the first responses to requests of <path>, framed by connection, are cut in their heads
    Then no caller got as complete what wasn't, or content of another answer
    And no request that may run once ran twice
    And no request that ran was answered as one that hasn't, or with a success of no target's
    And those that may run again got whole answers, and the others an error

    Examples:
      | path   | targets |
      | stream | 2       |
      | single | 2       |
      | safe   | 2       |
      | once   | 2       |
      | stream | 1       |
      | single | 1       |
      | safe   | 1       |
      | once   | 1       |

  Scenario: A stream that is broken off isn't ended by a response that ends in its head
    Given 2 entry processes before 2 targets whose responses' heads are cut
    When streams framed by length are broken off, and taken up by responses cut in their heads
    And streams framed by chunks are broken off, and taken up by responses cut in their heads
    And streams framed by connection are broken off, and taken up by responses cut in their heads
    Then no caller got as complete what wasn't, or content of another answer
    And nothing that isn't known to be complete was marked as complete
    And whole answers reached their callers, marked if the target that began them marks its end
    And streams that may be resumed were completed where their targets were known to break off
