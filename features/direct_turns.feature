Feature: Turns for suspected requests are given by one place

  # Guards against copies of one suspected request that several entries send at once, each by its own
  # count.
  Scenario Outline: At most one copy is under way while one coordinator is known to all, <entries> entries
    Then in any play of <entries> entries at most 1 copy is under way while all follow one coordinator

    Examples:
      | entries |
      | 2       |
      | 4       |
      | 24      |

  Scenario: Copies neither starve nor wait for long
    When 4 entries have 100 copies in turn
    Then a copy was sent at least 10 times, and none waited longer than 1100 ms
