Feature: Permits keep all entries together within the limit that a target names

  # Guards against permits that are used twice, or beside those of another coordinator.
  Scenario Outline: In any order of losses, cuts, freezes and handovers no window exceeds the limit, <limit> a second
    Then in any play of <entries> entries a target that takes <limit> a second gets at most <allowed> requests in any 4 s

    Examples:
      | entries | limit | allowed |
      | 3       | 0     | 1       |
      | 3       | 0.3   | 2       |
      | 4       | 1     | 5       |
      | 4       | 1.1   | 5       |
      | 3       | 5     | 21      |
      | 3       | 50    | 201     |

  Scenario Outline: What a target takes is used whoever asks for it, <entries> entries at <limit> a second
    When <entries> entries have <per_s> requests a second for it for 20 s
    Then a target that takes <limit> a second got at most the limit and one more in any 4 s, and at least <used> of its limit
    And no request waited longer than 2000 ms
    And issuing takes less than 20 us an entry's report

    Examples:
      | entries | limit | per_s | used |
      | 4       | 1     | 20    | 0.8  |
      | 4       | 50    | 200   | 0.8  |
      | 24      | 1     | 100   | 0.8  |
      | 24      | 5     | 100   | 0.8  |
      | 68      | 5     | 300   | 0.8  |
      | 360     | 1     | 800   | 0.8  |
      | 360     | 50    | 800   | 0.8  |

  Scenario Outline: A target names <values>
    Given a response that names <values>
    Then the limit it names is <limit>

    Examples:
      | values    | limit   |
      | none      | none    |
      | 1         | 1       |
      | 0.25      | 0.25    |
      | 0         | 0       |
      | 3, 2      | 2       |
      | 1000000   | 1000000 |
      | -1        | invalid |
      | inf       | invalid |
      | nan       | invalid |
      | fast      | invalid |
      | 2, fast   | invalid |

  # Guards against an end that is taken from a response which is older than the limit.
  Scenario Outline: Responses that cross, <case>
    Given responses to requests sent under the versions <responses>
    Then the limit in force is <limit>

    Examples:
      | case                                             | responses                        | limit |
      | the first one names it                           | 0: 2                             | 2     |
      | one sent before says nothing of it               | 0: 2, 0: none                    | 2     |
      | one sent after says nothing of it                | 0: 2, 1: none                    | none  |
      | one sent after that wasn't run says nothing      | 0: 2, 1: none (not run)          | 2     |
      | one sent before names a higher one               | 0: 2, 0: 5                       | 2     |
      | one sent before names a lower one                | 0: 2, 0: 1                       | 1     |
      | one sent after names a higher one                | 0: 2, 1: 5                       | 5     |
      | one sent before the end names it again           | 0: 2, 1: none, 1: 2              | 2     |
      | it ends again                                    | 0: 2, 1: none, 1: 2, 3: none     | none  |

  Scenario: What entries know of limits is the same in whatever order they hear of it
    Then in any order of the same news every entry ends with the same limits

  # Guards against an engine that is ordered on although what became of the last order isn't known.
  Scenario: A report that an order's outcome depends on is permitted with the next token
    Given a target that takes 1 a second and was asked for a report
    Then another report is permitted 22 s later, but not 21 s
    And 2 s later if an order was left without an answer
