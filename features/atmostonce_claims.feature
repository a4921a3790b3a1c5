Feature: Claims
  Claims on idempotency keys are held, released, refused and removed without a second run.

  Background:
    Given a site with two entries and two targets right beside the service "bookings"

  Scenario: A claim is released after "not run", so that the retry runs
    When this awaits the bookings: the services are down
    And the key "k" books "pickup" through "entry-0"
    Then the booking was refused as not run with NO_READY_TARGET
    When the services start again
    Then the key "k" is answered when it books "pickup" again
    And "pickup" ran 1 times

  Scenario: An answer is too large to keep
    When the key "k" books a text of 300000 bytes through "entry-0"
    And the key "k" books a text of 300000 bytes through "entry-1"
    Then the booking's outcome is done with ANSWER_NOT_KEPT
    And the text ran 1 times

  Scenario: A target is frozen between its claim and its run until the deadline has passed
    When the object API's claims suffer slow
    And the key "k" begins to book "pickup" through "entry-0" within 1500 ms
    And the targets are frozen until it has been claimed and its deadline has passed
    Then the booking's outcome is unknown
    When the frozen targets go on
    Then the claim of "k" is released
    And "pickup" ran 0 times
    When the object API's claims suffer nothing
    Then the key "k" is answered when it books "pickup" again
    And "pickup" ran 1 times

  Scenario: More keyed requests come than the object API's rate allows
    When the targets may write 4 times a second
    And 16 keyed bookings come at once
    Then some were answered and the others refused at once as not run with CLAIM_RATE
    And each that was answered ran once and no other

  Scenario: A silent object API holds up one request and not those after it
    When the second target is killed
    And the object API's claims suffer hang
    And the key "k" books "pickup" through "entry-0"
    And 6 keyed bookings come at once
    Then all are refused at once as not run with PLATFORM_DOWN
    And each that was answered ran once and no other

  Scenario: Claims are removed when no retry can come any more
    When 25 claims are old and 3 are new
    Then a sweep removes at most 10 claims a step and the old ones within 4 steps
    When the claim of a new one is older than a day
    Then the planner's entry removes it
