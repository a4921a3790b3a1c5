Feature: Connections that go silent for good
  Guards against hung requests when a middlebox drops connection state: open connections stop
  delivering data without closing, while new ones work.

  Background:
    Given a site whose every connection runs through a relay

  Scenario: Callers that fall silent don't keep others out, and their workers are freed
    Then silent callers leave room for others and are let go of:
      | silence                |
      | half a request line    |
      | half a body            |
      | not reading its answer |

  Scenario: Connections inside the site fall silent between requests
    Then after each silence a new request is served within 4 s:
      | silence                                  |
      | the entry's to the targets               |
      | the targets' to their engines, many idle |
      | all of the site's                        |
    And a bundle rolled while all open connections are silent is soon in force

  Scenario: A call to a plain service whose connection falls silent is not repeated
    Then a booking runs once, whatever happens while it runs:
      | silence                                        | told       |
      | the service's connection freezes               | unknown    |
      | the entry's connection freezes                 | the answer |
      | the service's connection is cut                | unknown    |
      | the entry's connection freezes and is cut then | the answer |
