Feature: An accepted bundle is in force everywhere and never reverts
  Guards against processes that miss a bundle in an outage or revert to an older one.

  Background:
    Given a bundle site of two targets and two entries that serves version 1 of "notes"

  Scenario Outline: The object API goes down when only one process has the new bundle
    Given only "<first>" still reaches the object API
    When version 2 of "notes" is rolled and, once "<first>" has it, <outage>
    Then every other process has the new generation too
    And "notes" is still answered through both entries

    Examples:
      | first   | outage                   |
      | model-0 | the object API goes down |
      | entry-0 | the object API goes down |

  Scenario: The instance list is down too and no connection is open
    Given the instance list of the bundle site is down and all connections are idle
    And only "model-1" still reaches the object API
    When version 2 of "notes" is rolled and, once "model-1" has it, the object API goes down
    Then every other process has the new generation too

  Scenario: An entry that starts in an outage gets the bundle from a target
    When the object API goes down under the bundle site
    And the entry "entry-2" starts
    Then "entry-2" answers "notes" by version 1 in generation 1

  Scenario: A target's process that is replaced in an outage serves what its engine holds
    When the object API goes down under the bundle site
    And every target's process is replaced
    Then both entries answer "notes" by version 1
    And no engine has got an order since

  Scenario Outline: A process that was frozen over two rolls never serves an older version again
    Given "<frozen>" is frozen
    When versions 2 and 3 of "notes" are rolled and ready
    And "<frozen>" wakes up
    Then requests through "<entry>" are answered by version 3 alone
    And every process has the generation 3

    Examples:
      | frozen  | entry   |
      | entry-1 | entry-1 |
      | model-0 | entry-0 |
      | model-1 | entry-0 |
