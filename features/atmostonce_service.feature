Feature: At most once at the service
  A non-repeatable call runs at most once, and its reported outcome is correct: "not run" means
  never, a complete answer means exactly once.

  Background:
    Given a site with two entries and two targets of the service "bookings"

  Scenario: Faults between the target and the service
    Then bookings with a key and without one end so under each fault:
      | when       | fault                                    | told    |
      | it runs    | the services' connections are cut        | unknown |
      | it runs    | the services' connections freeze         | unknown |
      | it runs    | the services are killed                  | unknown |
      | it is sent | the services are down behind a relay     | unknown |
      | it is sent | the services drop them                   | unknown |
      | it is sent | the services lose their answers          | unknown |
      | it is sent | the services hang                        | unknown |
      | it is sent | the services are slow                    | answer  |

  Scenario: Faults of the object API under a claim
    Then bookings with a key and without one end so under each fault:
      | when       | fault                                    | told    |
      | it is sent | one claim is dropped                     | answer  |
      | it is sent | one claim's answer is lost               | answer  |
      | it is sent | one claim's answer hangs                 | answer  |
      | it is sent | one claim comes late                     | answer  |
      | it is sent | one claim gets an error                  | answer  |

  Scenario: An error of the service is passed on and not tried again
    When the services answer with status 500
    And the key "k" books "pickup" through "entry-0"
    Then the booking was answered with status 500
    When the key "k" books "pickup" through "entry-1"
    Then the booking was answered with status 500
    And the services were called 1 times
