Feature: Memory through the whole path
  Guards against overcommitted accelerator memory when orders are late, repeated or lost, and when
  target processes restart.

  Scenario Outline: Two bundles are rolled while orders suffer <fault> and <event>
    Given a reach site of two 1000 MB engines that ignore fencing tokens
    And the reach site serves "a@1:100:r2"
    When orders suffer <fault> in a reach roll of "a@1:100:r2 c@1:600 d@1:600", <event>, and "a@1:100:r2 e@1:600 f@1:600" follows
    Then the reach site serves all names again within 20 s
    And the reach engines took the late orders and hold just the bundle
    And no reach engine was overcommitted

    Examples:
      | fault       | event                 |
      | late        | its processes stay    |
      | lose_answer | its processes stay    |
      | drop        | its processes stay    |
      | late        | its processes restart |
      | lose_answer | its processes restart |
