Feature: Calls to the object API
  Guards against an idle site, or one whose calls are refused, exceeding the platform's rates.

  Scenario Outline: The object API answers 429 to <calls> and is asked less
    Given a platform site with two entries that serves "a@1:300 b@1:300"
    When the platform's API answers 429 to "<calls>" for 4 s
    Then no platform caller made more than <bound> calls a second meanwhile

    Examples:
      | calls    | bound |
      | /watch   | 8     |
      | /        | 8     |

  Scenario: An idle site asks the object API little
    Given a platform site with two entries that serves "a@1:300 b@1:300"
    And the platform site's daemons run on their default timing
    When the platform site is idle for 10 s
    Then a platform target made at most 0.5 calls a second, an entry 1.0, and the planning one 1.7
