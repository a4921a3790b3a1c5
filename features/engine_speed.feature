Feature: Entries share what they measure of each engine's speed

  Scenario Outline: First events are predicted at engines of any speed
    Given 24 entries and 30 engines of speeds 0.7, 0.7 and 1.7, of which <load> in 100 is used
    When they serve requests for 60 s with the seed <seed>
    Then at each engine with 30 requests the median of measured / predicted is from 0.8 to 1.25
    And the factors of each speed are, as a median, within 20 of 100 of the engines' speeds

    Examples:
      | load | seed |
      | 30   | 1    |
      | 50   | 1    |
      | 70   | 1    |

  Scenario: An engine doesn't look slow because it is loaded
    Given 12 entries and 8 engines of one speed, of which 20 in 100 is used
    And half of the models are held by engine-0 alone
    When they serve requests for 30 s with the seed 1
    Then engine-0 is busier than the others, and its factors are within 20 of 100 of theirs

  Scenario: An engine that restarts starts at 1
    Given 6 entries and 3 engines of speeds 0.7, 0.7 and 1.7, of which 40 in 100 is used
    When they serve requests for 20 s with the seed 1
    And engine-0 restarts
    Then its factors are 1 at every entry
    And a report of its earlier lifetime changes nothing

  Scenario: The coordinator is lost halfway
    Given 6 entries and 3 engines of speeds 0.7, 0.7 and 1.7, of which 40 in 100 is used
    When they serve requests for 20 s with the seed 1
    And the coordinator of the speeds is lost
    Then no factor has changed at any entry
    When they go on for 5 s
    And another coordinator has all entries' first reports
    Then it knows what the entries were told before
    And what it tells a new entry gives that entry the same factors within 15 of 100

  Scenario Outline: A report that can't be used is ignored: <report>
    Given a coordinator and an entry that know engine "x" since 5000 with the factors 2 and 1.5
    When the coordinator gets a report with <report>
    Then neither its speeds nor the entry's factors have changed

    Examples:
      | report                               |
      | the number of the last one           |
      | an earlier number                    |
      | an earlier lifetime                  |
      | a later lifetime                     |
      | an engine that nobody knows          |
      | a factor that isn't a number         |
      | an infinite factor                   |
      | a factor of 0                        |
      | a negative factor                    |
      | a factor of 1000                     |
      | a negative number of measurements    |
      | infinitely many measurements         |

  Scenario Outline: Few measurements move a factor a little
    Given an engine "x" among engines that are known well
    When an entry measures <count> requests there that take twice as long
    Then its factor for prefill is from <least> to <most>

    Examples:
      | count | least | most |
      | 0     | 1     | 1    |
      | 1     | 1.1   | 1.35 |
      | 4     | 1.3   | 1.7  |
      | 40    | 1.7   | 2    |

  Scenario: An engine that is known for a moment only
    Given an entry that knows no engine
    When it is told the speed of "x" before "x" is registered
    Then the factors of "x" are known once it is registered
    And nothing of them is left once it has gone, and it starts at 1 in its next lifetime

  Scenario: An engine that is slow for a moment
    Given an engine "x" among engines that are known well
    When one request there takes 2.5 times as long
    Then prompts are predicted to take longer there for a quarter of a second, and as before afterwards
    And setting the clock back doesn't make the moment longer

  Scenario: Messages of an earlier version hold no speeds
    When reports of an entry and of a coordinator of an earlier version are read
    Then they hold no speeds, and an earlier version reads those of this one

  Scenario: A coordinator tells each entry what it lacks
    Given a coordinator that 3 entries follow, and one that has just come
    When the first entry reports an engine's speed
    Then entries that have followed are sent the change, and a later one all speeds
