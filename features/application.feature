Feature: A process hears of the order to stop

  Scenario: A process stops though the signal reaches another of its threads
    Given an application whose main thread blocks the signal to stop
    When another thread of it takes the signal
    Then the application stops within 2000 ms
