Feature: At most once
  A non-repeatable call runs at most once, and its reported outcome is correct: "not run" means
  never, a complete answer means exactly once.

  Background:
    Given a site with two entries and two targets of the service "bookings"

  Scenario: Faults between the caller and the target
    Then bookings with a key and without one end so under each fault:
      | when       | fault                                    | told    |
      | it runs    | the callers' connections are cut         | nothing |
      | it runs    | the callers leave                        | nothing |
      | it runs    | the entry is killed                      | nothing |
      | it runs    | the targets' connections are cut         | answer  |
      | it runs    | the targets' connections freeze          | answer  |
      | it runs    | the targets' answers freeze              | answer  |
      | it runs    | the targets can't be reached             | unknown |
      | it is sent | the targets can't be reached             | not_run |

  Scenario: Faults of the target
    Then bookings with a key and without one end so under each fault:
      | when       | fault                                    | told    |
      | it runs    | the targets are killed                   | unknown |
      | it runs    | the targets are killed and start again   | unknown |
      | it runs    | the targets are frozen past the deadline | unknown |
      | it is sent | the targets are down                     | not_run |
      | it is sent | the targets are frozen                   | unknown |
