Feature: A stream goes on only at targets of the software version that began it

  # Guards against streams that hold events of two versions, within one answer or over a caller's tries.
  Scenario Outline: Streams that are broken off go on at their version, <what>
    Given <entries> entry processes before targets of versions <versions>
    When <per_s> streams a second are broken off for <seconds> s, and <what>
    Then no stream holds events of two versions
    And at least <share> of the streams that were taken up went on while their version was there
    And what could not go on was rejected within 300 ms

    Examples:
      | entries | versions          | per_s | seconds | share | what                                             |
      | 4       | v1 v1 v1.1 v1.1   | 20    | 6       | 0.9   | nothing else happens                             |
      | 4       | a a b b c c       | 20    | 6       | 0.9   | nothing else happens                             |
      | 4       | v1 v1 v1.1 v1.1   | 20    | 10      | 0.9   | an entry is killed, and another 4 s later        |
      | 4       | v1 v1 v1.1 v1.1   | 20    | 10      | 0.9   | the coordinator is killed                        |
      | 4       | v1 v1 v1.1 v1.1   | 20    | 10      | 0.9   | the coordinator is stopped, and starts again     |
      | 4       | v1 v1 v1.1 v1.1   | 20    | 8       | 0.9   | an entry is frozen for 2 s                       |
      | 4       | v1 v1 v1.1 v1.1   | 20    | 8       | 0.9   | the store is away                                |
      | 4       | v1 v1             | 20    | 12      | 0.9   | v1.1 comes, v1 goes and comes back               |
      | 4       | v1 v1 v1.1        | 20    | 10      | 0.9   | v1.1 is gone, and v1.2 takes over its address    |
      | 24      | v1 v1 v1.1 v1.1   | 40    | 8       | 0.9   | six entries are killed at once                   |

  # Guards against an entry that takes the only version it knows for the only one there is.
  Scenario Outline: An entry that is out of touch joins no two versions, <what>
    Given 4 entries in this process before targets of versions <versions>
    When 20 streams a second are broken off for 10 s, and <what>
    Then no stream holds events of two versions
    And at least 0.9 of the streams that began at the others and were taken up were completed
    And what could not go on was rejected within 300 ms

    Examples:
      | versions        | what                                           |
      | v1 v1           | an entry is cut off while v1.1 comes           |
      | v1 v1 v1.1 v1.1 | an entry is cut off for 5 s                    |

  # Guards against a version that is guessed once all entries have lost what they knew.
  Scenario: After all entries were killed at once no stream goes on at a guess
    Given 4 entry processes before targets of versions v1 v1 v1.1 v1.1
    When 20 streams a second are broken off for 8 s, and all entries are killed at once
    Then no stream holds events of two versions
    And what could not go on was rejected within 300 ms
