Feature: No stream goes on at another version once all entries have lost what they knew

  # Guards against a version that no list names any more and all entries have forgotten.
  Scenario Outline: After all entries were killed no stream goes on at the only version left, <what>
    Given 4 entry processes before targets of versions <versions>
    And these have served for <served> s
    When 20 streams a second are broken off for <seconds> s, and <what>
    Then no stream holds events of two versions
    And what could not go on was rejected within 300 ms

    Examples:
      | versions   | served | seconds | what                                                 |
      | v1 v1 v1.1 | 14     | 10      | all are killed as v1.1 leaves                        |
      | v1 v1 v1.1 | 14     | 10      | all are killed 1 s after v1.1 left                   |
      | v1 v1 v1.1 | 14     | 12      | all are killed in two halves                         |
      | v1 v1 v1.1 | 14     | 12      | all are killed, and the store is away for 3 s        |
      | v1 v1 v1.1 | 0      | 10      | all are killed 1 s after v1.1 left                   |
      | v1 v1      | 14     | 18      | the coordinator dies as v1.1 comes, all as it leaves |

  # Guards against streams that are refused for as long as one may last, though only one version was.
  Scenario: After all entries were killed at once streams go on at what was long the only version
    Given 4 entry processes before targets of versions v1 v1
    And these have served for 14 s
    When 20 streams a second are broken off for 8 s, and all are killed at their only version
    Then no stream holds events of two versions
    And at least 0.9 of the streams that were taken up went on while their version was there
    And what could not go on was rejected within 300 ms
