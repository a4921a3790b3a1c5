Feature: Reachability
  Guards against models or adapters becoming unreachable while a bundle is rolled.

  Scenario Outline: A roll keeps every name answering: <case>
    Given a reach site with engines of <engines> MB and the policy <policy>
    And the reach site serves "<first>"
    When every name is sampled while the reach site rolls "<second>"
    Then <failures> of the reach samples failed
    And no reach engine was overcommitted

    Examples:
      | case                    | engines   | policy | first                   | second                  | failures |
      | no room but by a chain  | 1000, 300 | normal | a@1:500 b@1:300         | a@2:500 b@1:300         | none     |
      | the naive policy        | 1000, 300 | naive  | a@1:500 b@1:300         | a@2:500 b@1:300         | some     |
      | an adapter's version    | 1000      | normal | a@1:300+x@1:50+y@1:50   | a@1:300+x@2:50+y@1:50   | none     |
      | a base and its adapters | 1000      | normal | a@1:300+x@1:50          | a@2:300+x@2:50          | none     |
      | an adapter to a model there | 1000  | normal | a@1:300+x@1:50 b@1:200  | a@1:300 b@1:200+x@2:50  | none     |
      | an adapter to a model elsewhere | 1000, 1000 | normal | a@1:600+x@1:50 b@1:600 | a@1:600 b@1:600+x@2:50 | none |
      | an adapter to a new model   | 1000  | normal | a@1:300+x@1:50          | b@1:200+x@2:50          | none     |

  Scenario: A slow weight store gets no more loads than it allows
    Given a reach site with engines of 1000, 1000 MB, 2 loads a second and 2 at once
    When the reach site rolls "a@1:100 b@1:100 c@1:100 d@1:100 e@1:100 f@1:100 g@1:100 h@1:100"
    Then the reach site serves all names again within 15 s
    And the weight store refused none and had at most 2 at once

  Scenario Outline: Two targets leave at once as <copies>: <left> of them may, with answers <fault>
    Given a placement record whose copies at two targets say that <copies>
    When both targets try to leave it at once while the API's answers are <fault>
    Then <left> of the two targets left and the record keeps a ready replica unless <left> is 0

    Examples:
      | copies                | fault       | left |
      | the other one stays   | slow        | 1    |
      | the other one stays   | lose_answer | 1    |
      | both leave            | slow        | 0    |
      | a third is ready      | slow        | 2    |
      | a third is ready      | lose_answer | 2    |
