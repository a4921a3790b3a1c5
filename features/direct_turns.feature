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

  # Guards against a sound request that was at one crash and is lost at the next one beside the
  # request that causes them: at two of three crashes, it leaves that without a verdict.
  Scenario Outline: A request that was at one crash and one that was at two don't begin beside each other, <first> first, <lasts> ms
    Given a coordinator that gives turns to 2 entries
    When an entry has the turn of a request that was at <first> for <lasts> ms
    And another one asks for that of a request that was at <second> 20 ms after the first one got it
    Then it gets its turn <ms> ms after the first one got it

    Examples:
      | first       | second      | lasts | ms  |
      | one crash   | two crashes | 60    | 60  |
      | two crashes | one crash   | 60    | 60  |
      | one crash   | two crashes | 1000  | 500 |
      | two crashes | one crash   | 1000  | 500 |

  # Guards against requests that wait for one another although each was lost at one crash only.
  Scenario: Requests that were at one crash get their turns at once
    Given a coordinator that gives turns to 2 entries
    When both ask for the turns of 20 requests that were at one crash
    Then all of them get their turns at once
