Feature: Of a request that may crash targets, the site sends one copy at a time, whatever fails beside it

  # Guards against a turn that is lost with its entry or its coordinator, or given twice.
  Scenario Outline: Five engines end at most while evidence may be missing, <fault>
    Given 4 entry processes before 6 engines that come back after a crash
    When a request that crashes engines comes 150 times in 8 s, at all entries in turn, <fault>
    Then it crashed at least 3 engines
    And it crashed at most 5 engines
    And no sound request was rejected for the crashes

    Examples:
      | fault                                                 |
      | the one that had it starts again after each crash    |
      | the coordinator starts again after the second crash  |
      | the coordinator is gone after the second crash       |
      | an entry is frozen after each crash                  |

  Scenario Outline: Five engines end at most while entries can't reach one another, <fault>
    Given 4 entries in this process before 6 engines that come back after a crash
    When a request that crashes engines comes 150 times in 8 s, at all entries in turn, <fault>
    Then it crashed at least 3 engines
    And it crashed at most 5 engines
    And no sound request was rejected for the crashes

    Examples:
      | fault                                                 |
      | two entries are cut off from the first crash for 2 s |
      | the store is away from the first crash on            |

  Scenario: Two requests that crash engines take three engines each
    Given 4 entries in this process before 6 engines that come back after a crash
    When two requests that crash engines come 150 times in 8 s, at all entries in turn
    Then it crashed at most 6 engines
    And no sound request was rejected for the crashes

  Scenario: A popular sound request is served beside one that crashes engines
    Given 4 entries in this process before 6 engines that come back after a crash
    When a request that crashes engines comes 150 times in 8 s beside a popular one, at all entries in turn
    Then it crashed at most 3 engines
    And no sound request was rejected for the crashes
