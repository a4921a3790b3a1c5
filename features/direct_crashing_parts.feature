Feature: A part of a prompt that crashes the targets that answer it is not sent again and again

  # Guards against crashes of requests that are all different: each was put to another request, so that nothing was
  # quarantined and engines ended for as long as such requests came.
  Scenario Outline: Later requests with a part that crashed three engines reach no more, <where>
    Given 4 entry processes before 6 engines that come back after a crash
    When requests that share a part that crashes engines come 20 times in 8 s, <where>
    Then they crashed at least 3 engines
    And they reached engines at most 3 times later than 3000 ms after their third crash
    And every entry that runs then rejects one more of them within 200 ms
    And no sound request was rejected for the crashes
    And of the sound requests at least 0.9 times as many as before were begun at their first attempt, from 3000 ms after the third crash

    Examples:
      | where                                                                        |
      | always at one entry                                                          |
      | at all entries in turn                                                       |
      | at all entries in turn, the one that had it starts again after each crash    |
      | at all entries in turn, the coordinator starts again after the second crash  |
      | at all entries in turn, the coordinator is gone after the second crash       |

  Scenario: A part that crashes engines whose responses mark no end is found as fast
    Given 4 entry processes before 6 engines that mark no end and crash
    When requests that share a part that crashes engines come 20 times in 8 s, at all entries in turn
    Then they crashed at least 3 engines
    And they reached engines at most 3 times later than 3000 ms after their third crash
    And every entry that runs then rejects one more of them within 200 ms
    And no sound request was rejected for the crashes

  Scenario Outline: What entries saw of the crashes of a part is put together, <case>
    Given <entries> entries in this process before 6 engines that come back after a crash
    When requests that share a part that crashes engines come 20 times in 8 s, <where>
    Then they crashed at least 3 engines
    And they reached engines at most 3 times later than 3000 ms after their third crash
    And every entry that runs then rejects one more of them within 200 ms
    And no sound request was rejected for the crashes

    Examples:
      | case                         | entries | where                                                                       |
      | no faults                    | 4       | at all entries in turn                                                      |
      | two entries cut and healed   | 4       | at all entries in turn, two entries are cut off from the first crash for 2 s |
      | the store is away            | 4       | at all entries in turn, the store is away from the first crash on           |
      | 24 entries                   | 24      | at all entries in turn                                                      |
