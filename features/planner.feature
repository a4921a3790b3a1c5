Feature: Place every model of a bundle
  Guards against plans that drop a last ready replica, exceed memory or limits, or never converge.
  Targets are written name:domain:GB, with the GB of each accelerator joined by "/" and then
  dead, draining, failed or service if it applies. Models are written name@version:GB, then
  r (replicas), m (most replicas), p (priority), x (accelerators), d (domain) and
  a (adapter, as name.version.GB). Replicas are
  written model@version/target:state. A change is +target for a load, -target for a replica
  to unload, !target for one removed from its record and # for a deleted record.

  Scenario Outline: the planner decides <case>
    Given a plan for the targets "<targets>"
    And a plan for the bundle "<bundle>"
    And a plan whose records hold "<replicas>"
    When the planner decides
    Then the planner writes "<changes>"

    Examples: load what has no ready replica
      | case                                  | targets              | bundle                    | replicas                     | changes       |
      | on the target with most free memory   | t1:d1:8 t2:d2:9      | a@1:4                     |                              | a+t2          |
      | only where there is room              | t1:d1:8 t2:d2:4/4    | a@1:6                     |                              | a+t1          |
      | on accelerators of one target         | t1:d1:8 t2:d2:4/4    | a@1:4:x2                  |                              | a+t2          |
      | never on two targets for one replica  | t1:d1:4 t2:d2:4      | a@1:4:x2                  |                              |               |
      | in the domains that the entry names   | t1:d1:8 t2:d2:9      | a@1:4:dd1                 |                              | a+t1          |
      | never on a plain service              | t1:d1:8:service      | a@1:4                     |                              |               |
      | never on a leaving target             | t1:d1:9:draining     | a@1:4                     |                              |               |
      | by priority where room is short       | t1:d1:4              | a@1:4:p5 b@1:4:p0         |                              | b+t1          |
      | so that the larger one fits too       | t1:d1:4 t2:d2:6      | a@1:4:p0 b@1:6:p1         |                              | a+t1 b+t2     |
      | nothing while a load is under way     | t1:d1:8 t2:d2:9      | a@1:4                     | a@1/t1:load                  |               |
      | counting what a load will still take  | t1:d1:8 t2:d2:5      | a@1:5 b@1:4               | a@1/t1:load                  | b+t2          |
      | elsewhere than where it failed before | t1:d1:8 t2:d2:9:failed | a@1:4                   |                              | a+t1          |

    Examples: make before break
      | case                                  | targets              | bundle                    | replicas                     | changes       |
      | a load of the new version first       | t1:d1:8 t2:d2:9      | a@2:4                     | a@1/t1:ready                 | a+t2          |
      | nothing more until it is ready        | t1:d1:8 t2:d2:9      | a@2:4                     | a@1/t1:ready a@2/t2:load     |               |
      | the old one to leave then             | t1:d1:8 t2:d2:9      | a@2:4                     | a@1/t1:ready a@2/t2:ready    | a-t1          |
      | not to trust a dead replacement       | t1:d1:8 t2:d2:9:dead | a@2:4                     | a@1/t1:ready a@2/t2:ready    | a+t1          |
      | to strike the load of an old version  | t1:d1:8 t2:d2:9      | a@2:4                     | a@1/t1:load                  | a+t2 a!t1     |
      | to give room by a surplus replica     | t1:d1:4 t2:d2:4      | a@2:4 b@1:4               | a@1/t1:ready a@1/t2:ready    | a-t1          |
      | to give room by another's surplus     | t1:d1:8 t2:d2:4      | a@2:4 b@1:4               | a@1/t1:ready b@1/t1:ready b@1/t2:ready | b-t1 |
      | to move another where none is surplus | t1:d1:10 t2:d2:3     | a@2:5 b@1:3               | a@1/t1:ready b@1/t1:ready    | b+t2          |
      | nothing where none can move           | t1:d1:4 t2:d2:4      | a@2:4 b@1:4               | a@1/t1:ready b@1/t2:ready    |               |

    Examples: leaving and lost targets, dropped models
      | case                                  | targets              | bundle                    | replicas                     | changes       |
      | a replacement before a target leaves  | t1:d1:8:draining t2:d2:8 | a@1:4                 | a@1/t1:ready                 | a+t2          |
      | that its replica leave then           | t1:d1:8:draining t2:d2:8 | a@1:4                 | a@1/t1:ready a@1/t2:ready    | a-t1          |
      | never to break a last replica         | t1:d1:8:draining     | a@1:4                     | a@1/t1:ready                 |               |
      | to strike a load on a leaving target  | t1:d1:8:draining     | a@1:4                     | a@1/t1:load                  | a!t1          |
      | a replacement for a lost replica      | t1:d1:8:dead t2:d2:8 | a@1:4                     | a@1/t1:ready                 | a+t2          |
      | to keep a lost one till it's replaced | t1:d1:8:dead t2:d2:8 | a@1:4                     | a@1/t1:ready a@1/t2:load     |               |
      | to strike a lost one then             | t1:d1:8:dead t2:d2:8 | a@1:4                     | a@1/t1:ready a@1/t2:ready    | a!t1          |
      | to strike a lost load at once         | t1:d1:8:dead t2:d2:8 | a@1:4                     | a@1/t1:load a@1/t2:ready     | a!t1          |
      | lost ones first, then by priority     | t1:d1:8:dead t2:d2:4 | a@2:4:p0 b@1:4:p5         | a@1/t2:ready b@1/t1:ready    |               |
      | to have a dropped model leave         | t1:d1:8              | a@1:4                     | a@1/t1:ready b@1/t1:ready    | b-t1          |
      | to strike a dropped model's load      | t1:d1:8              | a@1:4                     | a@1/t1:ready b@1/t1:load     | b#            |
      | to delete an empty record             | t1:d1:8              | a@1:4                     | a@1/t1:ready b@1/-:none      | b#            |

    Examples: new adapters go beside what a replica holds, or a whole replica replaces it
      | case                                  | targets              | bundle                    | replicas                     | changes       |
      | nothing where one fits in place       | t1:d1:6 t2:d2:9      | a@1:4:ax.1.2              | a@1/t1:ready                 |               |
      | to give that room to nobody else      | t1:d1:8              | a@1:4:ax.1.2 b@1:3        | a@1/t1:ready                 |               |
      | a load elsewhere where it doesn't fit | t1:d1:5 t2:d2:9      | a@1:4:ax.1.2              | a@1/t1:ready                 | a+t2          |
      | that the cramped replica leave then   | t1:d1:5 t2:d2:9      | a@1:4:ax.1.2              | a@1/t1:ready a@1/t2:ready    | a-t1          |
      | nothing where it fits nowhere         | t1:d1:5 t2:d2:5      | a@1:4:ax.1.2              | a@1/t1:ready                 |               |
      | by the accelerators that hold it      | t1:d1:5/9 t2:d2:9    | a@1:4:ax.1.2              | a@1/t1:ready                 | a+t2          |

    Examples: replicas up to the number named
      | case                                  | targets              | bundle                    | replicas                     | changes       |
      | the second in another failure domain  | t1:d1:8 t2:d1:9 t3:d2:8 | a@1:4:r2               | a@1/t1:ready                 | a+t3          |
      | no second while another has none      | t1:d1:8 t2:d2:4      | a@1:4:r2 b@2:4            | a@1/t1:ready b@1/t1:ready    | b+t2          |

  Scenario Outline: the planner keeps the weight store's limits
    Given a plan for the targets "t1:d1:9 t2:d2:9 t3:d3:9"
    And a plan for the bundle "a@1:4 b@1:4 c@1:4 d@1:4"
    And a plan with <at_once> loads at once and <tokens> tokens
    And a plan whose records hold "<replicas>"
    When the planner decides
    Then the planner starts <loads> loads

    Examples:
      | at_once | tokens | replicas                | loads |
      | 6       | 9      |                         | 4     |
      | 2       | 9      |                         | 2     |
      | 2       | 9      | a@1/t1:load             | 1     |
      | 2       | 9      | a@1/t1:load b@1/t2:load | 0     |
      | 6       | 1      |                         | 1     |
      | 6       | 0      |                         | 0     |

  Scenario Outline: the planner follows demand where a move earns more than it costs
    Given a plan for the targets "t1:d1:8 t2:d2:8 t3:d3:8"
    And a plan for the bundle "a@1:4:r1:m2"
    And a plan whose records hold "<replicas>"
    And a plan where "a" has <requests> requests and <refused> refused, and <low> low windows
    And a plan where "t1" changed <ago> ms ago
    When the planner decides
    Then the planner writes "<changes>"

    Examples: one replica carries 80 requests a window, and a move costs 20 deadlines
      | replicas                  | requests | refused | low | ago    | changes |
      | a@1/t1:ready              | 90       | 20      | 0   | 999999 |         |
      | a@1/t1:ready              | 90       | 21      | 0   | 999999 | a+t2    |
      | a@1/t1:ready              | 100      | 0       | 0   | 999999 |         |
      | a@1/t1:ready              | 101      | 0       | 0   | 999999 | a+t2    |
      | a@1/t1:ready              | 500      | 90      | 0   | 10     |         |
      | a@1/t1:ready a@1/t2:load  | 500      | 90      | 0   | 999999 |         |
      | a@1/t1:ready a@1/t2:ready | 500      | 90      | 0   | 999999 |         |
      | a@1/t1:ready a@1/t2:ready | 1        | 0       | 2   | 999999 |         |
      | a@1/t1:ready a@1/t2:ready | 1        | 0       | 3   | 999999 | a-t1    |
      | a@1/t1:ready              | 1        | 0       | 9   | 999999 |         |

  Scenario Outline: the planner gives up a load that takes too long
    Given a plan for the targets "t1:d1:8 t2:d2:8"
    And a plan for the bundle "a@1:4"
    And a plan whose records hold "a@1/t1:load"
    And a plan where "a" has been loading on "t1" for <ms> ms of 60000
    When the planner decides
    Then the planner writes "<changes>"

    Examples:
      | ms    | changes |
      | 59999 |         |
      | 60000 | a!t1    |

  Scenario: the planner that knows an older bundle than a record's changes nothing
    Given a plan for the targets "t1:d1:8"
    And a plan for the bundle "a@1:4 b@1:4"
    And a plan whose records hold "a@1/t1:ready"
    And a plan whose records are of a newer generation
    When the planner decides
    Then the planner writes ""

  Scenario Outline: the planner outlives a target whose engine is silent for a moment
    Given a plan for the targets "t1:d1:6 t2:d2:9"
    And a plan for the bundle "<bundle>"
    And a plan whose records hold "a@1/t1:ready"
    And a plan where the engine of "t1" is silent
    When the planner decides
    Then the planner writes "<changes>"

    Examples:
      | bundle           | changes |
      | a@1:4            |         |
      | a@1:4:ax.1.2     |         |
      | a@1:4 b@1:8      | b+t2    |
      | a@1:4 b@1:8:x2   |         |

  Scenario Outline: a plan is refused before the roll when <case>
    Given a plan for the targets "<targets>"
    When a plan from "<in force>" to "<bundle>" is checked
    Then a plan check says "<says>"

    Examples:
      | case                              | targets         | in force    | bundle          | says           |
      | nothing speaks against it         | t1:d1:8         |             | a@1:4 b@1:4     |                |
      | memory is short                   | t1:d1:8         |             | a@1:4 b@1:5     | 1000 MB        |
      | no target has the accelerators    | t1:d1:8 t2:d2:8 |             | a@1:4:x2        | 2 accelerators |
      | its domain has no room            | t1:d1:8 t2:d2:4 |             | a@1:5:dd2       | 1000 MB        |
      | nothing changes                   | t1:d1:4         | a@1:4       | a@1:4           |                |
      | no room beside the old version    | t1:d1:4         | a@1:4       | a@2:4           | 4000 MB        |
      | a dropped model gives its room    | t1:d1:8         | a@1:4 b@1:4 | a@2:4           |                |
      | room comes by one move            | t1:d1:10 t2:d2:3 | a@1:5 b@1:3 | a@2:5 b@1:3    |                |
      | one move is not enough            | t1:d1:4 t2:d2:4 | a@1:4 b@1:4 | a@2:4 b@1:4     | 4000 MB        |
      | only services have room           | t1:d1:8:service |             | a@1:4           | 4000 MB        |
      | an adapter fits in place          | t1:d1:6         | a@1:4       | a@1:4:ax.1.2    |                |
      | an adapter fits elsewhere         | t1:d1:5 t2:d2:6 | a@1:4       | a@1:4:ax.1.2    |                |
      | no room beside an old adapter     | t1:d1:6         | a@1:4:ax.1.2 | a@1:4:ax.2.2   | 2000 MB        |

  Scenario: a plan written in any order, with targets answering in any order, breaks nothing
    Then a plan in any order keeps the last replicas, the limits and the memory

  Scenario Outline: a plan that was checked ends with every model ready on <accelerators> a target
    Then a plan that passed the check ends with every model ready on up to <accelerators> a target

    Examples:
      | accelerators |
      | 1            |
      | 3            |

  Scenario: a plan that was checked ends with every model ready where only adapters change
    Then a plan that passed the check ends with every model ready where only adapters change

  Scenario Outline: a plan for a second bundle <end> where <case>
    Given a plan for a region of "<targets>" with <at_once> loads at once
    And a plan that ended with "<first>" ready
    When a plan goes on to "<second>" if it passes the check
    Then a plan for it <end>

    Examples: bundles that once passed the check and never got ready
      | case                                    | end        | targets      | at_once | first | second |
      | residents could lie in two ways         | is refused | 4/9/5 10     | 1 | b@1:3:x2:p2 c@1:3:p3 d@3:3:p3 e@2:1:p2 | b@2:3:x2:r2:p3 |
      | a surplus replica leaves room elsewhere | is refused | 9/10/8 5 5   | 2 | d@2:4:x2:r2:p2 e@2:1:r2:p1 | a@2:2:x2:p2 d@1:5:x2:p0 e@1:4:r2:p3 b@2:5:p2 f@2:1:p3 |
      | loads still hold what leaves, once      | is refused | 4/5/5 10/4   | 2 | e@1:5:x2:p0 c@1:3:x2:r2:p3 | d@3:2:r2:p1 f@3:4:x2:p2 a@1:2:x2:r2:p3 e@2:2:x2:p3 |
      | loads still hold what leaves, twice     | is refused | 10/5/7 7/6/10 | 2 | e@2:4:r2:p0 c@2:5:x2:r2:p1 | a@2:2:x2:p2 d@3:5:x2:p3 f@1:5:r2:p0 e@2:4:p1 c@3:3:x2:p0 |
      | loads still hold what leaves, thrice    | is refused | 8/4/4 8 8/4  | 1 | d@2:4:x2:r2:p3 | f@1:3:p1 b@2:3:x2:p0 d@1:4:x2:p3 |
      | one that waits is hardest to place      | ends ready | 10 5/4/5     | 2 | c@1:1:x2:p0 d@3:2:x2:r2:p2 b@3:3:x2:p1 a@3:1:r2:p1 | c@1:1:x2:p0 d@3:2:x2:r2:p2 b@3:3:x2:p1 a@3:1:r2:p1 |

    Examples: an adapter's new version
      | case                                    | end        | targets      | at_once | first | second |
      | has room beside the old one             | ends ready | 8            | 1 | a@1:4:ax.1.2 | a@1:4:ax.2.2 |
      | has room on another target              | ends ready | 6 6          | 1 | a@1:4:ax.1.2 | a@1:4:ax.2.2 |
      | has room on another target's two        | ends ready | 6/6 9 7/6    | 1 | a@1:4:x2:ax.1.2 | a@1:4:x2:ax.2.2 |
      | has room only beside one at a time      | ends ready | 10           | 1 | a@1:4:ax.1.2:ay.1.2 | a@1:4:ax.2.2:ay.2.2 |
      | has room nowhere                        | is refused | 7            | 1 | a@1:4:ax.1.2 | a@1:4:ax.2.2 |
      | takes the room of one that is dropped   | ends ready | 7            | 1 | a@1:4:ax.1.2 | a@1:4:ay.1.2 |
