Feature: Requests that are suspected together are told apart by the next runs

  # Guards against a sound request that is sent beside the guilty one after each crash, so that both
  # explain the crashes and there is no verdict by the third.
  Scenario: Requests that were at two crashes don't run beside one another
    Given an entry with two requests that were at two crashes together, before two targets
    When both come at once
    Then they were not at targets at the same time, and both are served

  # Guards against a fourth engine that ends while a sound request may still be told apart.
  Scenario: A request that was at three crashes waits for what else was there to be served
    Given an entry with a request that was at three crashes, at two of them beside a sound one
    When two copies of it come, and then the sound one
    Then the second copy is rejected within 100 ms with code 2019, the first with 3007 once the other is served

  # Guards against a copy that was let through before the crash became known, and reaches another
  # engine after it.
  Scenario: A request that becomes suspected while its connection is opened waits for its turn
    Given an entry before a target, and a request that crashes others meanwhile
    When it comes, and it becomes suspected as its connection is opened
    Then it reaches the target no sooner than 400 ms after that

  # Guards against a fourth engine that ends because of a sound stream that broke twice beside the
  # guilty request: one that has been written for long hardly crashes its target.
  Scenario Outline: A stream that had been written for <ms> ms counts as <stage> at its target's crash
    Given an entry before a target that writes a stream slowly
    When the target crashes <ms> ms after its first event
    Then the stream was <stage> at the crash

    Examples:
      | ms  | stage   |
      | 100 | running |
      | 700 | queued  |

  # Guards against suspected requests that are all rejected while versions are mixed.
  Scenario Outline: A suspected request gets its turn from a coordinator that gives turns, <coordinator>
    Given an entry with two requests that were at two crashes together, before two targets
    And it follows a coordinator <coordinator>
    When both come at once
    Then both are answered <status>

    Examples:
      | coordinator                | status |
      | that gives turns, but none | 503    |
      | of an earlier version      | 200    |
