Feature: Rolls that meet each other, lost answers and traffic
  Guards against lost or repeated rolls, reverted bundles and requests that fail during a roll.

  Background:
    Given a bundle site of two targets and two entries that serves version 1 of "notes"

  Scenario: Two operators roll at the same moment
    When "ana" rolls version 2 and "luis" version 3 of "notes" at once
    Then one of the two rolls won and the other operator is told by which and why
    And every process has the generation 2

  Scenario: The answer to a roll is lost after its effect
    When version 2 of "notes" is rolled but the answer of the object API is lost
    Then the roll is reported as done and is in the history once
    And every process has the generation 2

  Scenario: A roll is in force everywhere within seconds
    When version 2 of "notes" is rolled
    Then every process has the new generation within 5 s of the roll

  Scenario: A new version is rolled with requests running
    Given requests for "notes" run through both bundle entries
    When version 2 of "notes" is rolled
    Then the requests are answered by version 1 and from then on only by version 2
    And no request of the bundle site failed

  Scenario: Twenty rapid rolls while connections are cut
    Given requests for "notes" run through both bundle entries
    And both entries' generations are sampled all the time
    When versions 2 to 21 of "notes" are rolled while connections are cut
    Then every process has the generation 21
    And no entry reported or served anything older than before
