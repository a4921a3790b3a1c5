Feature: Losses
  Guards against residents of a lost process, engine or failure domain not being reloaded, or being
  reloaded out of priority order.

  Scenario Outline: What was lost is loaded again: <loss>
    Given a reach site with engines of 1000, 1000 MB and the policy normal
    And the reach site serves "a@1:500+x@1:100"
    When the reach site's holder of "a" suffers <loss>
    Then the reach site serves all names again within 10 s
    And no reach engine was overcommitted

    Examples:
      | loss                                |
      | its process killed                  |
      | its engine killed                   |
      | its engine restarted                |
      | both restarted                      |
      | both killed in an API outage of 4 s |

  Scenario: A lost failure domain is loaded again by priority within the weight store's limits
    Given a reach site with engines of 1000, 1000, 700, 700 MB, 2 loads a second and 2 at once
    And the reach site serves "f@1:100:p9 e@1:100:p8 d@1:100:p6 c@1:100:p4 b@1:100:p2 a@1:100:p0"
    When the reach site loses the holders in one failure domain at once
    Then the reach site serves all names again within 15 s
    And the reach site's loads followed priority, 2 at once
    And the weight store refused none and had at most 2 at once
    And no reach engine was overcommitted
