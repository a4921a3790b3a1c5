Feature: Of a request that may crash targets, the site sends one copy at a time

  # Guards against copies that gather behind a suspected one and are sent together, by one entry once
  # a wait has run out, or by several entries at once: each engine that they reach crashes.
  Scenario Outline: Three engines end, whatever the number of copies and entries, <copies> copies, <entries> entries, <engines> engines, back after <back> s
    Given <entries> entries in this process before <engines> engines that come back after a crash
    And an engine that crashed is back after <back> s
    When a request that crashes engines comes <copies> times in 8 s, at all entries in turn
    Then it crashed at least 3 engines
    And it crashed at most 3 engines
    And it reached engines at most 3 times later than 3000 ms after its first crash
    And no sound request was rejected for the crashes

    Examples:
      | copies | entries | engines | back |
      | 20     | 4       | 6       | 1.5  |
      | 150    | 4       | 6       | 1.5  |
      | 150    | 4       | 1       | 0.3  |
      | 150    | 4       | 1       | 3    |
      | 150    | 4       | 18      | 1.5  |
      | 400    | 24      | 6       | 1.5  |
      | 1200   | 24      | 6       | 1.5  |
      | 1200   | 24      | 18      | 1.5  |
