Feature: Every caller gets its own whole answer
  Guards against truncated, repeated or mixed-up answers when connections or processes fail.

  Background:
    Given a site for long answers with two entries and the target "model-0"

  Scenario: An answer goes on, whole and with each token once
    Then a long answer comes whole from one run, whatever happens in its middle:
      | kind     | fault                                                        |
      | streamed | the target's connection freezes                              |
      | whole    | the target's connection freezes                              |
      | streamed | only the target's answers freeze                             |
      | streamed | the target's connection is cut                               |
      | whole    | the target's connection is cut                               |
      | streamed | the target's connection is cut twice                         |
      | streamed | the engine's connection freezes                              |
      | whole    | the engine's connection freezes                              |
      | streamed | the engine's connection is cut five times                    |

  Scenario: An answer goes on when the process beside the engine is replaced
    Then a long answer comes whole from one run, whatever happens in its middle:
      | kind     | fault                                                        |
      | streamed | the target process is killed and started again               |
      | whole    | the target process is killed and started again               |
      | streamed | the engine's connection freezes and the process is restarted |

  Scenario: Many callers at once each get their own answer
    Then callers at both entries each have their own whole answer, whatever happens meanwhile:
      | callers | contents  | fault                                |
      | 2       | the same  | the target's connection is cut       |
      | 12      | different | the target's connection is cut twice |
      | 12      | different | the target's connection freezes      |
