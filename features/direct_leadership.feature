Feature: The duty to coordinate goes to a machine that can carry it
  Guards against a coordinator that is too small for the fleet, and against proofs of its lease that
  flood the store.

  Scenario Outline: Machines that contend at once, <case>
    Given a store beside machines of <machines>
    When all of them look for a coordinator at once, 40 times with <lease>
    Then each time one of <carriers> takes the lease, within <within> ms

    Examples:
      | case                        | machines                                 | lease                | carriers       | within |
      | at a site's first start     | small 0.4 10; large 2.1 100; tiny 0.2 10 | no lease yet         | large          | 100    |
      | after the holder is lost    | small 0.4 10; large 2.1 100; tiny 0.2 10 | a holder that is lost | large         | 1200   |
      | all of them small           | a 0.4 10; b 0.4 10                       | a holder that is lost | a or b        | 2100   |
      | all of them alike           | a 0.9 1000; b 0.9 1000                   | a holder that is lost | a or b        | 1200   |
      | a fast core on a thin link  | thin 2.1 5; wide 0.9 100                 | a holder that is lost | wide          | 1200   |
      | settings that name neither  | a 0 0; b 0 0                             | a holder that is lost | a or b        | 1200   |

  Scenario Outline: News keeps to what control may take, at each entry and on the coordinator's link
    Given a machine with a link of <mbps> Mbit/s
    Then after <kb> KB of news to <hearers> entries the next go out <pause> ms later at the soonest

    Examples:
      | mbps | kb  | hearers | pause |
      | 10   | 140 | 70      | 448   |
      | 100  | 140 | 70      | 286   |
      | 1000 | 2   | 3       | 95    |
      | 1000 | 0   | 0       | 0     |
      | 0    | 140 | 70      | 286   |

  Scenario Outline: A coordinator that the store doesn't answer asks others for a proof of its lease
    Given a coordinator that 40 entries follow, whose store <answers>
    When the lease has to be proved <times> times
    Then <asked> entries were asked to read it

    Examples:
      | answers         | times | asked |
      | turns it away   | 1     | 3     |
      | turns it away   | 2     | 43    |
      | answers nothing | 1     | 40    |
      | answers         | 2     | 0     |

  Scenario Outline: A coordinator without a proof doesn't have all entries ask the store all the time
    Given a coordinator that 40 entries follow, whose store <answers>
    When 10 s pass in which an entry that was lost leaves the proof incomplete
    Then between <least> and <most> requests for a proof were sent to each entry

    Examples:
      | answers         | least | most |
      | turns it away   | 6     | 14   |
      | answers nothing | 5     | 14   |
