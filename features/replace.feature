Feature: Instances are replaced all day
  Guards against failed requests and needless model moves when a process is replaced in place.

  Scenario: The process beside a model's only target is replaced under traffic
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    And requests for "dispatch" run through both drain entries
    When the process beside the target of "dispatch" is stopped and started again
    Then "dispatch" is served through both drain entries again
    And no request of the drain failed
    And no engine was given an order for the replacement

  Scenario: A service target that has left takes work again when the order is taken back
    Given a drain site with the service "bookings" on two targets
    And requests for the service "bookings" run
    When an operator orders "carrier-0" to leave
    Then the target has left the drain site
    When the operator takes the order back
    Then "carrier-0" runs new work for "bookings"
    And no request of the drain failed

  Scenario: A whole answer that passes its deadline is told so at once
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    When a caller gives "dispatch" less time than its answer takes
    Then the caller is told that the deadline passed

  Scenario: A model rolled in while a connection rests is found there
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    And an entry that closes connections that rest
    When the model "extra" is rolled in while its connections rest
    Then every target's entry serves "extra"

  Scenario: An idle process stops at once, whatever it waits for
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    And an entry in the middle of a long watch
    When the watching entry is stopped
    Then it has ended within 2 s

  Scenario: The status of an instance that is gone for long is deleted
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    And a planner that forgets instances after 4 s
    When the process beside the target of "dispatch" is killed for good
    Then its status is deleted and the others' are kept

  Scenario: An entry is replaced at its address
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    And requests for "notes" run through "entry-1" alone
    When "entry-0" is stopped and started again at its address
    Then "notes" is served through both drain entries again
    And no request of the drain failed
