Feature: Planned stops cut nothing
  Guards against cut requests after SIGTERM and against a plain service without any target.

  Scenario Outline: A target is stopped with a stream in flight, <fault>
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    And requests for "notes" run through both drain entries
    And a stream of "notes" is in flight at its target
    When the target of the stream is stopped, <fault>
    Then the stream in flight ended whole
    And the stopped process exits with 0
    And no request of the drain failed

    Examples:
      | fault                     |
      | no fault                  |
      | its connections are silent |
      | its connections are silent just before the end |

  Scenario: A target is stopped that goes on with its predecessor's stream
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    And a stream of "dispatch" is in flight at its target
    When the process of the stream is replaced and its successor is stopped
    Then the stream in flight ended whole
    And the stopped process exits with 0

  Scenario: An entry is stopped with a stream in flight
    Given a drain site of three model targets with "notes" twice and "dispatch" once
    And a kept connection to "entry-0"
    And a stream of "notes" is in flight at its target
    When the entry of the stream is stopped
    Then it refuses new connections and is not ready on the kept one
    And the stream in flight ended whole
    And the stopped process exits with 0

  Scenario: One of two carriers of a service is ordered to leave
    Given a drain site with the service "bookings" on two targets
    And requests for the service "bookings" run
    When an operator orders "carrier-0" to leave
    Then 3 s after the order the target gets no new work
    And the target has left the drain site
    And no request of the drain failed

  Scenario Outline: The only living carrier of a service stays until another registers, <case>
    Given a drain site with the service "bookings" on <targets>
    And requests for the service "bookings" run
    When an operator orders "carrier-0" to leave
    Then "carrier-0" still serves "bookings" 2 s later
    When "carrier-2" registers for "bookings"
    Then 3 s after the order the target gets no new work
    And the target has left the drain site
    And no request of the drain failed

    Examples:
      | case            | targets                             |
      | alone           | one target                          |
      | the other died  | two targets, of which one has died |
