Feature: Requests that are suspected together are told apart by the next runs

  # Guards against a sound request that is sent beside the guilty one after each crash, so that both
  # explain the crashes and there is no verdict by the third.
  Scenario: Requests that were at two crashes don't run beside one another
    Given an entry with two requests that were at two crashes together, before two targets
    When both come at once
    Then they were not at targets at the same time, and both are served

  # Guards against a fourth engine that ends while a sound request may still be told apart.
  Scenario: A request that was at three crashes waits for what else was there to be served
    Given an entry with a request that was at three crashes, at two of them beside a sound one
    When it comes, and then the sound one
    Then it is rejected within 100 ms with code 2019, and with 3007 once the other is served
