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

  # Guards against a request that was at two crashes, and is refused as others that were at one go
  # first for as long as they come.
  Scenario: A request that was at two crashes gets its turn beside a steady flow of others
    Given a coordinator that gives turns to 2 entries
    When an entry has a request that was at one crash every 100 ms, each at a target for 300 ms
    And another one asks for the turn of a request that was at two crashes
    Then it gets its turn within 800 ms, and the others go on to get theirs

  # Guards against requests that wait for one another although each was lost at one crash only.
  Scenario: Requests that were at one crash get their turns at once
    Given a coordinator that gives turns to 2 entries
    When both ask for the turns of 20 requests that were at one crash
    Then all of them get their turns at once

  # Guards against a turn that is given while a copy is under way whose entry doesn't know yet of the
  # crash that makes it suspected: of copies at three entries, four engines ended.
  Scenario: No turn is given before all entries have told what is under way
    Given a coordinator that gives turns to 3 entries
    And it has sent an update with a crash
    When an entry that knows of the crash asks for the turn of a request that was there
    Then none is given while another entry hasn't answered the update
    And none is given once that has answered with a copy that is under way
    And it is given once that copy has ended

  Scenario: An entry that doesn't answer an update with a crash holds up turns for a short time
    Given a coordinator that gives turns to 3 entries
    And it has sent an update with a crash
    When an entry that knows of the crash asks for the turn of a request that was there
    Then it is given 250 ms later if another entry never answers

  # Guards against a report that frees a trait before it bears the crash that the run has ended with.
  Scenario: A request is under way until it is known whether its target has crashed
    Given an entry with a request at a target that says nothing
    When that target crashes
    Then the request counts as under way until the crash is known, and no longer

  # Guards against evidence that counts as complete before an entry has noticed that its own request
  # ended there, and would be lost with that entry.
  Scenario: An entry says that it has reported on a crash only once it has
    Given an entry with a request at a target that says nothing
    When its coordinator tells of the crash of that target
    Then it doesn't say yet that it has reported on the crash
    When that target crashes
    Then the report in which it says so, or one before, lists its request

  # Guards against a report about a suspected copy that comes only when the next one is due.
  Scenario: An entry answers an update with a crash at once
    Given an entry with a request at a target that says nothing
    When its coordinator tells of a crash of another target with the same request
    Then it is to report at once that the request is under way, and the number of the update
