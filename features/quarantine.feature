Feature: The request that crashes targets is told from the sound ones beside it
  Capital letters are requests that were running at a target when it crashed, small ones were queued there.

  # Guards against the rejection of a sound request that was retried beside the one that crashes targets.
  Scenario Outline: Who is blamed for crashes, <case>
    Given the crashes <crashes>
    Then <blamed> is blamed for them

    Examples:
      | case                                                  | crashes                       | blamed  |
      | two crashes                                           | A, A                          | nobody  |
      | three crashes alone                                   | A, A, A                       | A       |
      | others beside it each time                            | AB, AC, AD                    | A       |
      | a sound one was there twice                           | AB, AB, AC                    | nobody  |
      | it was there twice, then a fourth crash               | AB, AB, AC, AD                | A       |
      | a sound one was queued there twice                    | Ab, Ab, AC                    | A       |
      | a sound one was there each time                       | AB, AB, AB                    | nobody  |
      | a sound one was queued there each time                | Ab, Ab, Ab                    | nobody  |
      | two crashes more tell them apart                      | AB, AB, AB, A, A              | A       |
      | one was queued each time, sound ones ran              | aBC, aBD, aCE                 | nobody  |
      | three crashes without anything in common              | A, B, C                       | nobody  |
      | the evidence of the first crash is lost               | B, AB, AB                     | nobody  |
      | the evidence of the first crash is lost, two later    | B, AB, AB, A, A               | A       |
      | two requests crash targets, a sound one near both     | AS, A, A, BS, B, B            | A and B |
      | it never runs alone                                   | ABCD, AEFG, AHIJ              | A       |
      | not all entries report                                | of some entries A, A, A, A    | nobody  |
      | not all entries report, and it goes on                | of some entries A, A, A, A, A | A       |

  Scenario Outline: What a run that completes says, <case>
    Given the crashes <before>
    When <completed> completes and then come the crashes <after>
    Then <blamed> is blamed for them

    Examples:
      | case                                  | before     | completed | after   | blamed |
      | a sound one at all crashes            | AB, AB     | B         | AB      | A      |
      | a body that many send, sound          | A, A       | A         | A, A    | nobody |
      | it crashes targets since              | A, A       | A         | A, A, A | A      |

  Scenario: Blame waits until the evidence of all entries is there
    Given the crashes A, A, A
    Then nobody is blamed 499 ms after the last one became known, and A 501 ms after

  # Guards against a sixth crash: the end of a coordinator with the evidence of the third one made
  # the two before it count as incomplete too, so that five known ones brought no verdict.
  Scenario Outline: Crashes on which <who> reported, and then the coordinator's end
    Given the crashes A, A, on which <who> reported
    When the coordinator ends with the evidence of a crash, and A comes after its return
    Then <blamed> is blamed for them

    Examples:
      | who                       | blamed |
      | all entries have          | A      |
      | all entries but one have  | nobody |

  Scenario Outline: A verdict <outcome>
    Given the crashes A, A, A, and a verdict
    When <what>
    Then A is <state>

    Examples:
      | outcome                               | what                                         | state       |
      | lasts                                 | 599 s go by for the verdict                  | quarantined |
      | lapses                                | 601 s go by for the verdict                  | sent again  |
      | comes back with one crash more        | one of its crashes lapses and another comes  | quarantined |
      | is lifted                             | A is cleared                                 | sent again  |
      | outlasts a flood of other crashes     | 500 other requests crash a target each       | quarantined |
      | is no reason to keep more and more    | 500 other requests crash a target each, with 300 beside | quarantined |
      | needs no order of reports             | another entry is told of it backwards, twice | quarantined |

  # Guards against rejected sound requests, and against runs after the third crash that all entries
  # in touch should know of.
  Scenario: In any order of crashes, cuts, restarts and handovers the culprit alone is rejected in time
    Then in any play of 4 entries with one request that crashes targets no sound one is rejected
    And it ran at most 3 times later than the third crash and the window, unless evidence was lost
