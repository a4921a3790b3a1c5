@alone
Feature: Callers that don't behave leave the daemon's workers to others

  # Guards against callers that hold a worker each for as long as they send a byte now and then.
  Scenario Outline: The daemon's health check is answered beside 40 callers that <behave>
    Given a daemon in the role entry with 24 workers, for 16 requests of at most 1 MB
    When 40 of the daemon's callers <behave>
    Then its process lives, and its health check is answered beside them and afterwards

    Examples:
      | behave                                |
      | send a head byte by byte              |
      | send a body of 1 MB but its last byte |
