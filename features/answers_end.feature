Feature: What can't be completed ends, and never looks whole
  Guards against partial answers that look complete and against abandoned work that keeps running.

  Background:
    Given a site for long answers with two entries and the target "model-0"

  Scenario Outline: What can't be completed never looks whole
    When a caller asks for a long answer, <kind>, and in its middle <fault>
    Then the caller sees <end>

    Examples:
      | kind     | fault                | end                        |
      | streamed | the engine is killed | an error that says unknown |
      | whole    | the engine is killed | an error that says unknown |

  Scenario: Work that nobody waits for never begins, or ends at the engine
    When the engine is full, a caller waits for a slot and leaves
    Then the engine never runs what it had asked
    And the engine cancels a run that nobody waits for any more:
      | kind     | fault               |
      | streamed | the caller leaves   |
      | whole    | the caller leaves   |
      | streamed | the entry is killed |
    And the caller sees a broken connection

  Scenario: A whole answer is made at another target when its engine dies
    Given the target "model-1" holds the model too
    When a caller asks for a long answer, whole, and in its middle the engine is killed
    Then the caller has the whole long answer
