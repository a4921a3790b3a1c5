Feature: One instance at a time orders engines, and never more than they have room for
  Guards against an overcommitted engine when orders are unanswered, late or from an earlier holder,
  and against two instances that order at the same time.

  Scenario Outline: A model takes another one's place whatever becomes of the orders
    Given an ordered engine that holds a, b and c and leaves orders <unanswered> unanswered, <late>
    When the desk swaps a for d
    Then the engine holds b, c and d and was never overcommitted

    Examples:
      | unanswered | late                       |
      | 0          | never late                 |
      | 1          | carried out after 10 ms    |
      | 1          | carried out after 2000 ms  |
      | 1,2        | carried out after 500 ms   |
      | 2          | carried out after 10 ms    |
      | 2          | carried out after 300 ms   |
      | 2,3        | carried out after 1000 ms  |

  Scenario Outline: An engine that has counted an order nobody knows of is not overcommitted
    Given an ordered engine that holds a, b and c and leaves orders <unanswered> unanswered, never carried out
    And at order <number> it counts one more order than the desk knows
    When the desk swaps a for d
    Then the engine holds b, c and d and was never overcommitted

    Examples:
      | unanswered | number |
      | 1          | 1      |
      | 1,2        | 1      |
      | 2          | 2      |
      | 0          | 1      |

  Scenario Outline: What an earlier holder ordered is carried out late, between a decision and its orders
    Given an ordered engine that holds <held> and leaves orders 0 unanswered, never late
    And at order <number> an earlier holder's load of x is carried out first
    When the desk is told once to swap <victims> for d
    Then the engine holds <after> and was never overcommitted

    Examples:
      | held     | victims | number | after      |
      | a and b  | nothing | 1      | a, b and x |
      | a, b     | a       | 1      | a, b and x |
      | a, b     | a       | 2      | b and x    |
      | a        | nothing | 1      | a and x    |

  Scenario: An adapter that an earlier holder ordered comes between a decision and its order
    Given an ordered engine that holds a and leaves orders 0 unanswered, never late
    And its adapter places are full but for one
    And at order 1 an earlier holder's load of adapter x is carried out first
    When the desk is told once to load adapter y
    Then the engine never held more than its adapter places

  Scenario Outline: The engine starts again under its identity, <case>
    Given an ordered engine that holds a, b and c and leaves orders <unanswered> unanswered, <late>
    When the engine starts again <when>
    Then the desk <knows>, and gives its orders no more

    Examples:
      | case                 | unanswered | late       | when                          | knows                                    |
      | while nothing moves  | 0          | never late | before a report               | finds that nothing known holds           |
      | during a swap        | 1          | never carried out | while a swap waits for answers | finds that nothing known holds    |

  Scenario: Room is kept for an order without an answer while it may still load its model
    Given an ordered engine that holds a, b and c and leaves orders 2,3,4,5,6,7,8,9 unanswered, never carried out
    When the desk swaps a for d in vain and the engine starts again
    Then the desk of the new lifetime keeps room for d, and after 12500 ms no more

  # Guards against an overcommitted engine: reports that an engine makes while it is still loading don't list the model.
  Scenario: A load that takes longer than expected keeps its room
    Given an ordered engine that holds a and leaves orders 2,3,4,5,6,7,8 unanswered, never carried out
    And its loads take 1000 ms
    When the desk loads b and then c, each in an expected 150 ms
    Then it counts the room of a, b and c as taken

  Scenario Outline: The platform's answers to orders
    Given an engine of the platform that answers orders with <status>
    When it is ordered to <what>
    Then the outcome is <outcome>

    Examples:
      | status | what              | outcome    |
      | 202    | load a model      | ACCEPTED   |
      | 200    | load a model      | ALREADY_SO |
      | 200    | unload an adapter | ACCEPTED   |
      | 202    | unload an adapter | ACCEPTED   |
      | 409    | load a model      | CONFLICT   |
      | 412    | load a model      | REFUSED    |
      | 421    | load a model      | REFUSED    |
      | 500    | load a model      | UNKNOWN    |

  Scenario: An engine whose unload waits for its runs is not taken for nearly free
    Given an engine with three models whose unload waits 600 ms for its runs
    When the desk swaps a for d and is asked meanwhile when the engine is free
    Then until the load has begun it says no less than the whole load

  Scenario: The longer a load is overdue, the later its engine is expected to be free
    Given an engine with three models whose unload waits 0 ms for its runs
    When the desk swaps a for d, which is to take 50 ms and takes 100 ms more
    Then just before the load's end it expects the engine to be free in 50 ms or more

  Scenario: A late report doesn't keep an engine from its next move
    Given an engine with three models whose unload waits 0 ms for its runs
    When the desk swaps a for d, and reports are asked for as they fall due
    Then the engine is free for its next move within 600 ms

  Scenario: Adapters that are wanted at the same moment never pass the engine's places
    Given an ordered engine that holds a, b and c and leaves orders 0 unanswered, never late
    When eight adapters of a are wanted at the same moment
    Then the engine never held more than its adapter places

  Scenario Outline: Adapters keep to their places when orders go unanswered
    Given an ordered engine that holds a, b and c and leaves a third of orders unanswered by seed <seed>
    When eight adapters of a are wanted at the same moment
    Then the engine never held more than its adapter places

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against an overcommitted engine: an unanswered order that expects more accepted orders than the
  # engine has is carried out once it has accepted them.
  Scenario: Room is kept for an adapter whose order the engine may still come to
    Given an ordered engine that holds a and leaves orders 1 unanswered, carried out after 2600 ms
    And its adapter places are full but for one
    And the desk has counted one order more than the engine
    When adapter y is ordered in vain, and adapter z after it
    Then the engine never held more than its adapter places

  # The same for a model.
  Scenario: Room is kept for a model whose order the engine may still come to
    Given an ordered engine that holds a and b and leaves orders 1 unanswered, never carried out
    And the desk has counted one order more than the engine
    When the desk swaps nothing for d in vain
    Then it keeps room for d, and after 12500 ms no more

  # Guards against a wrong count: an unload of what is already unloaded is answered as if it was carried out.
  Scenario: An adapter that was unloaded after an unanswered order is not unloaded again
    Given an ordered engine that holds a and leaves orders 1 unanswered, never carried out
    And its adapter places are full
    When the desk is told once to load adapter y
    Then no adapter was ordered to be unloaded for two counts of orders
    And the engine never held more than its adapter places

  Scenario Outline: Who takes the lease over waits for its predecessor's last possible order
    Given a lease with a handover of 3000 ms that <predecessor> held
    When this instance takes it over at 10000 ms <knowledge>
    Then its first order may go out at <first> ms

    Examples:
      | predecessor  | knowledge                                | first |
      | nobody       | knowing nothing                          | 10000 |
      | itself       | knowing nothing                          | 10000 |
      | itself, unsettled, | knowing nothing                    | 15000 |
      | another      | knowing nothing                          | 15000 |
      | another      | told that the last order was at 9500 ms  | 12600 |
      | another      | told that the last order was at 1000 ms  | 10000 |

  Scenario Outline: A holder stops by itself when it can't prove that it still holds the lease
    Given a lease that this instance took at 10000 ms
    When <event>
    Then at <at> ms it <may> order

    Examples:
      | event                                                | at    | may     |
      | nothing is heard of the store                        | 11900 | may     |
      | nothing is heard of the store                        | 12000 | may not |
      | the lease is read at 11000 ms                        | 12900 | may     |
      | the lease is read at 11000 ms                        | 13000 | may not |
      | another entry reads it, asked at 11500 ms            | 13400 | may     |
      | another entry finds another holder, asked at 11500 ms | 12000 | may not |
      | the lease is read at 11000 ms and another holds it   | 11001 | may not |
      | it announces its last order at 11000 ms              | 11000 | may not |
      | it reads the lease after it announced its last order | 11000 | may not |

  Scenario: Two instances hand the duty over while one of them is told to leave
    Given two instances with one store and an engine
    When the coordinator is told to leave
    Then the other one coordinates, and no order came within the handover of the first one's last

  # Guards against two coordinators that order at once: a swap in progress sent its next order after
  # the last one had been announced.
  Scenario: A coordinator that has announced its last order gives no more
    Given two instances with one store and an engine
    When the coordinator is told to leave between the two orders of a swap, while it reads the lease
    Then it has given no order since, and the other one keeps to the handover

  # Guards against an instance that begins to coordinate as it exits.
  Scenario: An instance that is told to leave while it writes the lease gives no order
    Given an instance that takes the lease over, whose write is answered late
    When it steps down before the answer
    Then it gives no order in the next second

  # Guards against a successor that orders while the last holder may: it took an earlier holder's
  # last order for the last holder's.
  Scenario: What a coordinator announced as its last order doesn't count for a later coordinator
    Given an entry that follows a coordinator, which steps down
    When a third instance takes the lease, and the entry can't reach it
    Then the entry takes the lease over and waits until the third instance's proof has run out

  Scenario: A coordinator that is only restarted takes its duty back before anybody else could order
    Given two instances with one store and an engine, and a handover of 3000 ms
    When the coordinator ends and starts again after 500 ms
    Then it orders again before its successor might have, and no other instance has ordered

  Scenario: Orders go on while the store is away for everyone, until an entry is lost
    Given two instances with one store and an engine
    When the store is away for both
    Then the coordinator goes on with orders beyond its proof
    When the second instance is lost
    Then no orders are given once the last proof has run out
    When the store is back
    Then the coordinator orders again
