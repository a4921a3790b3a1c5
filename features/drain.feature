Feature: Operators order targets to leave
  Guards against requests that fail and models that become unreachable while a target drains.

  Background:
    Given a drain site of three model targets with "notes" twice and "dispatch" once

  Scenario Outline: A target gets no new work while another holds the model, <fault>
    Given the drain site's instance list lags by 4 s
    And requests for "notes" run through both drain entries
    And no drain target's engine hears of loads
    When an operator orders a target of "notes" to leave by the <means>, <fault>
    Then 3 s after the order the target gets no new work
    And the target has left the drain site once engines hear of loads
    And no request of the drain failed

    Examples:
      | means   | fault                     |
      | command | no fault                  |
      | record  | its connections are silent |

  Scenario Outline: What only one target holds moves before it is refused there, <fault>
    Given requests for "dispatch" run through both drain entries
    And a stream of "dispatch" is in flight at its target
    When an operator orders a target of "dispatch" to leave by the record, <fault>
    Then the target has left the drain site
    And the stream in flight ended whole
    And no request of the drain failed

    Examples:
      | fault                     |
      | no fault                  |
      | its connections are silent |
      | orders to engines get lost |

  Scenario: The object API goes down right after an order
    Given requests for "dispatch" run through both drain entries
    And a stream of "dispatch" is in flight at its target
    When an operator orders a target of "dispatch" to leave by the record, the object API goes down
    Then the stream in flight ended whole
    And the target has left the drain site once the object API is back
    And no request of the drain failed

  Scenario: Both targets of a model are ordered to leave at once
    Given requests for "notes" run through both drain entries
    When both targets of "notes" are ordered to leave at the same moment
    Then the third target holds "notes" before either lets go
    And no request of the drain failed

  Scenario: An order is taken back before the move is done
    Given requests for "dispatch" run through both drain entries
    And no drain target's engine hears of loads
    When an operator orders a target of "dispatch" to leave by the record, no fault
    And the operator takes the order back
    Then the target still serves "dispatch" and gets new work
    And no request of the drain failed

  Scenario: An entry is ordered to leave
    When an operator orders "entry-0" to leave
    Then "entry-0" tells the balancer that it is not ready
    When the operator takes the order back
    Then "entry-0" tells the balancer that it is ready
