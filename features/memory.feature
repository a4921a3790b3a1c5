Feature: The engine's memory
  Guards against overcommitted accelerators and early unloads when orders to an engine, their
  answers or calls to the object API are lost, late or repeated.

  Scenario Outline: A bundle is rolled while an order's outcome is unknown
    Given the engine <fencing> fencing tokens and has accelerators of 1000 MB
    And the keeper's longest order delay is 1200 ms
    When the keeper starts
    And the engine's orders suffer <fault> of 600 ms
    And the keeper's target is to load "a@1" of 600 MB
    And the engine's orders have suffered it
    And the keeper's target is to load "b@1" of 600 MB instead
    And the engine's orders suffer nothing
    Then the keeper makes "b@1" ready
    And the engine's late order has arrived
    And the engine has only "b@1" resident
    And the engine was never overcommitted

    Examples:
      | fencing | fault       |
      | checks  | drop        |
      | checks  | lose_answer |
      | checks  | late        |
      | ignores | drop        |
      | ignores | lose_answer |
      | ignores | late        |

  Scenario Outline: An order that was lost is given again and done once
    Given the engine <fencing> fencing tokens and has accelerators of 1000 MB
    And the keeper's longest order delay is 500 ms
    When the keeper starts
    And the engine's next order suffers <fault> of 300 ms
    And the keeper's target is to load "a@1" of 600 MB with adapters of 100, 150 MB
    And the engine's orders have suffered it
    Then the keeper makes "a@1" ready
    And the engine's late order has arrived
    And the engine has only "a@1, a-x1@1, a-x2@1" resident
    And the engine loaded 3 times
    And the engine was never overcommitted

    Examples:
      | fencing | fault       |
      | checks  | drop        |
      | checks  | lose_answer |
      | checks  | late        |
      | ignores | drop        |
      | ignores | lose_answer |
      | ignores | late        |

  Scenario Outline: A predecessor's order arrives late
    Given the engine <fencing> fencing tokens and has accelerators of 1000 MB
    And the keeper's longest order delay is 1200 ms
    When the keeper starts
    And the engine's next order suffers late of 800 ms
    And the keeper's target is to load "a@1" of 600 MB
    And the engine's orders have suffered it
    And the keeper is killed
    And the keeper's target is to load "b@1" of 600 MB instead
    And the keeper starts
    Then the keeper makes "b@1" ready
    And the engine's late order has arrived
    And the engine has only "b@1" resident
    And the engine was never overcommitted

    Examples:
      | fencing |
      | checks  |
      | ignores |

  Scenario Outline: A load is under way when its reason goes
    Given the engine <fencing> fencing tokens and has accelerators of 1000 MB
    And the keeper's longest order delay is 300 ms
    And the engine takes 400 ms for a load
    And the keeper's target is to load "a@1" of 600 MB
    When the keeper starts
    And the engine is loading "a@1"
    And <event>
    And the keeper's target is to load "b@1" of 600 MB instead
    And <remedy>
    Then the keeper makes "b@1" ready
    And the engine has only "b@1" resident
    And the engine was never overcommitted

    Examples:
      | fencing | event                | remedy             |
      | checks  | the keeper is killed | the keeper starts  |
      | ignores | the keeper is killed | the keeper starts  |
      | checks  | the keeper goes on   | the keeper goes on |
      | ignores | the keeper goes on   | the keeper goes on |

  Scenario Outline: The engine restarts empty
    Given the engine <fencing> fencing tokens and has accelerators of 1000 MB
    And the keeper's longest order delay is 300 ms
    And the keeper's target is to load "a@1" of 600 MB with adapters of 100, 150 MB
    When the keeper starts
    Then the keeper makes "a@1" ready
    When the engine restarts
    Then the keeper turns "a@1" back to load
    And the keeper makes "a@1" ready
    And the engine has only "a@1, a-x1@1, a-x2@1" resident
    And the engine was never overcommitted

    Examples:
      | fencing |
      | checks  |
      | ignores |

  Scenario Outline: The engine restarts empty while the object API is out
    Given the engine <fencing> fencing tokens and has accelerators of 1000 MB
    And the keeper's longest order delay is 300 ms
    And the keeper's target is to load "a@1" of 600 MB with adapters of 100 MB
    When the keeper starts
    Then the keeper makes "a@1" ready
    When the keeper's object API suffers <fault>
    And the engine restarts
    Then the engine has only "a@1, a-x1@1" resident
    When the keeper's object API is back
    Then the keeper makes "a@1" ready
    And the engine was never overcommitted

    Examples:
      | fencing | fault |
      | checks  | error |
      | checks  | hang  |
      | ignores | error |
      | ignores | hang  |

  Scenario: Without a fencing token no order is given
    Given the engine checks fencing tokens and has accelerators of 1000 MB
    And the engine holds an import of 500 MB
    And the keeper's target is to load "a@1" of 400 MB
    And the keeper's token can't be had
    When the keeper starts without a token
    Then the keeper reports 500 MB free on accelerator 0
    And the engine has "" resident for 300 ms
    When the keeper's object API is back
    Then the keeper makes "a@1" ready

  Scenario: A changed adapter is ready before the old one goes
    Given the engine checks fencing tokens and has accelerators of 1000 MB
    And the engine takes 200 ms for a load
    And the keeper's target is to load "a@1" of 600 MB with adapters of 100 MB
    When the keeper starts
    Then the keeper makes "a@1" ready
    When the keeper's bundle has version 2 of the adapters
    Then the engine has only "a@1, a-x1@2" resident
    And the engine had "a-x1@2" ready before it unloaded "a-x1@1"
    And the engine was never overcommitted

  Scenario: Adapters that are still to come have their room kept
    Given the engine checks fencing tokens and has accelerators of 1000 MB
    And the engine takes 100 ms for a load
    And the keeper's target is to load "a@1" of 600 MB with adapters of 150, 150 MB
    And the keeper's target is to load "b@1" of 200 MB too
    When the keeper starts
    Then the keeper makes "a@1" ready
    And the keeper reports 100 MB free on accelerator 0
    And the engine has only "a@1, a-x1@1, a-x2@1" resident
    And the engine was never overcommitted

  Scenario: An adapter goes on the accelerators of its base
    Given the engine checks fencing tokens and has accelerators of 500, 1000, 1000 MB
    And the keeper's target is to load "a@1" of 600 MB with adapters of 300 MB
    When the keeper starts
    Then the keeper makes "a@1" ready
    And the keeper reports 500 MB free on accelerator 0
    And the keeper reports 100 MB free on accelerator 1
    And the keeper reports "a@1" with 900 MB on accelerator 1
    And the engine was never overcommitted

  Scenario: An import counts
    Given the engine checks fencing tokens and has accelerators of 1000 MB
    And the engine holds an import of 500 MB
    And the keeper's target is to load "a@1" of 600 MB
    And the keeper's target is to load "b@1" of 400 MB too
    When the keeper starts
    Then the keeper makes "b@1" ready
    And the keeper reports 100 MB free on accelerator 0
    And the engine was never overcommitted

  Scenario Outline: The object API's answer is lost
    Given the engine checks fencing tokens and has accelerators of 1000 MB
    And the keeper's target is to load "a@1" of 600 MB
    And the keeper's next write of <object> suffers <fault>
    When the keeper starts
    Then the keeper makes "a@1" ready
    And the keeper's write has suffered it
    And the keeper's fencing token is 1

    Examples:
      | object    | fault       |
      | placement | drop        |
      | placement | lose_answer |
      | fencing   | drop        |
      | fencing   | lose_answer |

  Scenario: A leaving replica stays until another is ready and its work has ended
    Given the engine checks fencing tokens and has accelerators of 1000 MB
    And the keeper's target is to load "a@1" of 600 MB with adapters of 100 MB
    When the keeper starts
    Then the keeper makes "a@1" ready
    When the keeper's serving side has 1 request on "a-x1@1"
    And the keeper's replica "a@1" is to leave
    Then the keeper has "a@1, a-x1@1" usable for 300 ms
    When the keeper learns of "a@1" ready on another target
    Then the keeper takes "a@1" out of the record
    And the engine has "a@1, a-x1@1" resident for 300 ms
    And the keeper has "" usable for 100 ms
    When the keeper's serving side has 0 requests on "a-x1@1"
    Then the engine has only "" resident

  Scenario: Without a bundle in force nothing is unloaded
    Given the engine checks fencing tokens and has accelerators of 1000 MB
    And the keeper's target is to load "a@1" of 600 MB
    When the keeper starts
    Then the keeper makes "a@1" ready
    When the keeper is killed
    And the keeper knows no bundle and its records are gone
    And the keeper starts
    Then the keeper has "a@1" usable for 300 ms

  Scenario: A successor ends the orders of one that still runs
    Given the engine checks fencing tokens and has accelerators of 1000 MB
    And the keeper's target is to load "a@1" of 600 MB
    When the keeper starts
    Then the keeper makes "a@1" ready
    When the keeper starts
    Then the keeper before it gives no more orders

  Scenario: A keeper that was paused asks whether it still owns an engine that ignores tokens
    Given the engine ignores fencing tokens and has accelerators of 1000 MB
    And the keeper's longest order delay is 100 ms
    And the keeper's target is to load "a@1" of 300 MB
    When the keeper starts
    Then the keeper makes "a@1" ready
    When the keeper's successor takes a token
    And the keeper has paused for 60000 ms
    And the keeper's target is to load "b@1" of 300 MB too
    Then the keeper before it gives no more orders
    And the engine has "a@1" resident for 300 ms

  Scenario: The ledger agrees with a naive replay
    Then the keeper's ledger agrees with a naive replay of 60 random histories
