Feature: Idempotency keys
  Requests with the same idempotency key run at most once, through any entry and target.

  Background:
    Given a site with two entries and two targets right beside the service "bookings"

  Scenario: The same key comes through two entries at once
    When the key "k" books "pickup" 4 times at once through both entries
    Then one of them was answered and the others were told it is in progress or its answer
    And "pickup" ran 1 times

  Scenario: A key comes again after its answer
    When the key "k" books "pickup" through "entry-0"
    And the key "k" books "pickup" through "entry-1"
    Then the booking was answered with status 200
    And it was a replay
    And "pickup" ran 1 times

  Scenario: A key comes again with another body
    When the key "k" books "pickup" through "entry-0"
    And the key "k" books "another" through "entry-1"
    Then the booking was refused as not run with KEY_REUSED
    And "another" ran 0 times

  Scenario: A key comes again after its target was killed
    When the key "k" begins to book "pickup" through "entry-0"
    And this strikes them: the target that runs it is killed
    And the key "k" books "pickup" through "entry-1"
    Then the booking's outcome is unknown with CLAIM_IN_PROGRESS
    When the claim of "k" is older than its request's deadline
    And the key "k" books "pickup" through "entry-1"
    Then the booking's outcome is unknown with OUTCOME_UNKNOWN
    And "pickup" ran 1 times

  Scenario: A key comes while the object API is out
    Then keyed bookings are refused so under each outage of the claims, and run once after it:
      | fault       | first | second |
      | error       | 500   | 500    |
      | drop        | 500   | 500    |
      | lose_answer | 500   | 500    |
      | hang        | 2700  | 2700   |
