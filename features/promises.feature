Feature: A promise that a request has not run holds, also on a machine under load

  # Guards against an entry that answers 503 for what has run, as a run ends in the pass in which its time limit does.
  Scenario: Runs end as their time limit passes, on an event loop that stalls
    When 400 plays of requests whose runs end as their time limit passes are played from seed 1 on
    Then no request that was answered as not run has run
    And each of the promises, the answers of unknown outcome and the served requests was seen
