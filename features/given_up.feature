Feature: Requests that are given up don't run later

  # Guards against a request that begins to run after its caller has left, as its entry resumes it on a new connection that the cancellation went over first.
  Scenario Outline: A request is given up <when> its connection is replaced
    Given an entry's link with a request whose connection was lost as it was submitted
    When the request is given up <when> it is resumed on a new connection
    Then the last that its target is told of it is that it is cancelled

    Examples:
      | when    |
      | just as |
      | after   |
