Feature: Streams are moved on a machine under load

  # Guards against a request that ends while its run is being stopped: the other streams of its engine are not moved, and its copy stays in memory.
  Scenario: Callers leave and time limits pass as streams are moved, on an event loop that stalls
    When 100 plays of streams that are moved as callers leave and time limits pass are played from seed 1 on
    Then no evacuation has failed
    And no copy of memory is left at an engine, and none is used twice
    And no stream that was answered as not run has run, and none is at two engines for long
    And each resumable stream with time for it ends whole
