Feature: Frames of earlier connections and attempts change no answer
  Guards against corrupted or repeated answers after reconnects, with a scripted peer on each side.

  Scenario: Whatever frames come, an answer is whole or is not called so
    Then an attempt takes in any frames as a naive reassembly does

  Scenario Outline: A target lets no older connection of an entry do anything
    Given a target's server for an entry's connections 1 and 2
    When on the server, <steps>
    Then it began once and <outcome>
    And on the server, an older connection that says Hello again is refused

    Examples:
      | steps                                                 | outcome                                           |
      | submit on 1, resume on 2, answered                    | the answer comes on connection 2                  |
      | submit on 1, resume on 2, resume on 1, answered       | the answer comes on connection 2                  |
      | resume on 2, submit on 1, answered                    | the answer comes on connection 2                  |
      | submit on 1, answered, forgotten, resume on 2         | connection 2 is told that the outcome is unknown  |

  Scenario Outline: An entry's link gets on whatever a target's connection does
    Given a scripted target whose first connection <habit>
    When an entry's link submits a request
    Then the answer comes whole over connection <number>

    Examples:
      | habit                            | number |
      | announces before it welcomes     | 1      |
      | streams and never answers a Ping | 2      |
      | ends in the middle               | 2      |
