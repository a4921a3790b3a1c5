Feature: All entries act on what any of them saw of crashes

  # Guards against a verdict on evidence that the other entries would contradict, and against
  # evidence that is lost with a link.
  Scenario Outline: What entries saw of the crashes is put together, <case>
    Given <entries> entries in this process before 6 engines that come back after a crash
    When a request that crashes engines comes 20 times in 8 s, <where>
    Then it crashed at least 3 engines
    And it reached engines at most 3 times later than 3000 ms after its third crash
    And no sound request was rejected for the crashes
    And all entries reject it within 3000 ms after its third crash, or after the cut has healed

    Examples:
      | case                         | entries | where                                                                       |
      | no faults                    | 4       | at all entries in turn                                                      |
      | two entries cut and healed   | 4       | at all entries in turn, two entries are cut off from the first crash for 2 s |
      | the store is away            | 4       | at all entries in turn, the store is away from the first crash on           |
      | 24 entries                   | 24      | at all entries in turn                                                      |

  Scenario: A sound body that is sent often is served, whatever crashes beside it
    Given 4 entry processes before 6 engines that come back after a crash
    When the engines crash one after another 6 times, while one body is sent every 40 ms
    Then the body was never rejected for the crashes
