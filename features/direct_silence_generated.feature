Feature: Generated orders of silences, crashes, refusals and changes

  # Hypothesis generates the plays, in virtual time and with an entry's real parts. The number of
  # examples and the seed are fixed. More of them, with the smallest example of a failure:
  #   SILENCE_EXAMPLES=2000 SILENCE_SEED=1 PYTHONPATH=tools .venv/bin/python -m behave \
  #     features/direct_silence_generated.feature
  # Guards against requests that end without an answer because an entry gives up what it has on a
  # weaker check than the one that grants what comes next.
  Scenario Outline: In any play a request <rule>
    Then in any play of silences a request <rule>

    Examples:
      | rule                                                                      |
      | ends with an answer, a rejection, its time limit or its own target's end  |
      | brings its caller each event once and in order                            |
      | runs as often as it may, and is never refused once it has run             |
      | takes a repeat for each further attempt, and leaves nothing behind        |
      | is at one target soon after an event of either, and at none after its end |

  # Guards against rules that an entry keeps by refusing what it could answer.
  Scenario: Without faults all requests are answered
    Then in any play without faults all requests are answered in time

  # Guards against plays in which too little happens for the rules to show anything.
  Scenario: The plays hold what the rules are about
    Then the generated plays hold answers, refusals, silences that were left and ends of targets
