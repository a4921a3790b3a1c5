Feature: The whole path
  One request is served end to end across separate processes.

  Background:
    Given a site with two entries, three model targets and the service "bookings"
    And the site has rolled the models "notes" and "dispatch"

  Scenario Outline: A chat request gets its own whole answer through any entry
    When a caller asks "notes" "<content>" through "<entry>", <kind>
    Then the site gave the whole answer of "notes" to "<content>"

    Examples:
      | content       | entry   | kind     |
      | gate 7        | entry-0 | whole    |
      | gate 7        | entry-1 | streamed |
      | ¿puerta cinco? | entry-1 | whole   |

  Scenario: A plain service is reached under its own path
    When a caller sends "pickup 7" to the service "bookings" through "entry-0"
    Then the service ran "pickup 7" once and its answer came back

  Scenario: The bundle in force is listed to callers
    Then "entry-1" lists the models "dispatch, notes"
