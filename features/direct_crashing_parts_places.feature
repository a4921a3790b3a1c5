Feature: A part of a prompt that crashes targets is found at any place of a prompt of any length

  # Guards against a part beyond a fixed number of a prompt's first ones, which nothing was blamed for.
  Scenario Outline: A part that crashes engines is found wherever it stands in a prompt, <where>
    Given 4 entry processes before 6 engines that come back after a crash
    When requests that share a part at place <place> of <parts> come 20 times in 8 s, <where>
    Then they crashed at least 3 engines
    And they reached engines at most 3 times later than 3000 ms after their third crash
    And every entry that runs then rejects one more of them within 200 ms
    And no sound request was rejected for the crashes
    And of the sound requests at least 0.9 times as many as before were begun at their first attempt, from 3000 ms after the third crash

    Examples:
      | place    | parts | where                                                                       |
      | 9        | 12    | at all entries in turn                                                      |
      | 64       | 80    | at all entries in turn                                                      |
      | 255      | 260   | at all entries in turn                                                      |
      | 255      | 260   | always at one entry                                                         |
      | 200      | 260   | at all entries in turn, the one that had it starts again after each crash   |
      | any      | 260   | at all entries in turn, and sound requests hold the others in another order |
