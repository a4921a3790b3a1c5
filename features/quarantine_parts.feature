Feature: The part of prompts that crashes targets is told from the sound ones beside it
  A:fg is a request A whose prompt holds the parts f and g before its last one.

  # Guards against a verdict on a part that sound requests share, and against none on the one that crashes targets.
  Scenario Outline: What is blamed for crashes of prompts, <case>
    Given targets that crashed under <crashes>
    Then what is blamed is <blamed>

    Examples:
      | case                                           | crashes                               | blamed  |
      | two crashes                                    | A:fg, B:fg                            | nothing |
      | three requests with one part                   | A:fg, B:fg, C:fg                      | g       |
      | sound ones beside them share the first part    | A:fg X:fs, B:fg Y:ft, C:fg Z:fu       | g       |
      | a sound part was there twice                   | A:fg X:fs, B:fg Y:ft, C:fg Z:fs       | nothing |
      | the first part crashes targets                 | A:gs, B:gt, C:gu                      | g       |
      | the first part, and there is no other          | A:g, B:g, C:g                         | g       |
      | one request alone                              | A:fg, A:fg, A:fg                      | A       |
      | one request was sent twice                     | A:fg, A:fg, B:fg                      | g       |
      | one request was sent three times               | A:fg, A:fg, A:fg, B:fg                | g       |
      | several of them each time                      | A:fg B:fg, C:fg D:fg, E:fg F:fg       | g       |
      | nothing in common                              | A:f, B:g, C:h                         | nothing |
      | a sound one was there each time                | A:fg X:s, B:fg X:s, C:fg X:s          | nothing |
      | a sound one was there twice                    | A:fg X:s, B:fg X:s, C:fg              | nothing |
      | a sound one was there twice, then once more    | A:fg X:s, B:fg X:s, C:fg, D:fg        | g       |

  Scenario Outline: What was served tells parts apart, <case>
    Given a ledger
    And the parts <parts> were served <ms> ms before
    When targets crash under <crashes>
    Then what is blamed is <blamed>

    Examples:
      | case                                          | parts   | ms    | crashes                                | blamed  |
      | a later part that sound ones share            | f and m | 5000  | A:fgm, B:fgm, C:fgm                    | g       |
      | two parts crash targets                       | f       | 5000  | A:fg, B:fh, C:fg, D:fh, E:fg, F:fh     | g and h |
      | a part and a body crash targets               | f       | 5000  | A:fg, S:f, B:fg, S:f, C:fg, S:f        | g and S |
      | the only part in common was served, four times | f      | 5000  | A:f, B:f, C:f, D:f                     | nothing |
      | the only part in common was served, five times | f      | 5000  | A:f, B:f, C:f, D:f, E:f                | f       |
      | it was served just before                     | f       | 500   | A:f, B:f, C:f, D:f, E:f                | nothing |
      | it was served too long ago to count           | f       | 700000 | A:f, B:f, C:f                         | f       |

  # Guards against a verdict on what all requests share when many targets end for another reason.
  Scenario: Targets that crash at the same moment count once
    Given a ledger
    When targets crash at the same moment under A:f, B:f, C:f, D:f, E:f, F:f
    Then what is blamed is nothing

  # Guards against verdicts that stop an entry for longer than streams may pause, and records without bound.
  Scenario Outline: Long prompts are judged in bounded time and memory, <what>
    Given a ledger
    When <crashes> targets crash under <requests> requests of <parts> parts, <what>
    Then a part that all of them hold is blamed after at most 400 ms of processor time
    And what is known of the crashes fits into one message between entries

    Examples:
      | crashes | requests | parts | what                                      |
      | 3       | 1        | 255   | all parts but one in another order        |
      | 5       | 30       | 255   | all parts but one shared by sound ones    |
      | 5       | 64       | 255   | all parts but one different               |
      | 20      | 64       | 1000  | all parts but one different               |
      | 100     | 64       | 3     | all parts but one of a session's          |

  Scenario: A request that is served clears its parts of all crashes before
    Given targets that crashed under A:fg, B:fg
    When a request with f and g is served
    And targets crash under C:fg, D:fg
    Then what is blamed is nothing

  # Guards against what an entry knows of a part staying with it because another one told it of the crash.
  Scenario Outline: An entry tells what it has served of a crash that it hears of, <what>
    Given a ledger
    And the parts f were served <ms> ms before
    When it hears of a crash under A:f
    Then it reports f as <what>

    Examples:
      | ms   | what    |
      | 500  | cleared |
      | 5000 | served  |

  Scenario: A verdict on a part that was served before is tried again soon
    Given a ledger
    And the parts f were served 5000 ms before
    When targets crash under A:f, B:f, C:f, D:f, E:f
    Then what is blamed is f
    And 31 s later what is blamed is nothing

  Scenario: In any order of crashes, cuts, restarts and handovers the part that crashes targets is rejected in time
    Then in any play of 4 entries with one part that crashes targets no sound part is rejected
    And it ran at most 3 times later than the fifth crash and the window, unless evidence was lost
