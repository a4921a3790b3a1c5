Feature: No caller gets as complete what a target broke off

  # Guards against taking the end of a target's connection for the end of its response.
  Scenario Outline: A response that its target broke off isn't completed by the entry, <path>
    Given 2 entry processes before targets that frame and end responses in every way
    When the requests of <path> are answered in every way
    Then no caller got as complete what wasn't, or content of another answer
    And nothing that isn't known to be complete was marked as complete
    And whole answers reached their callers, and are marked if their targets marked them
    And streams that may be resumed were completed where their targets were known to break off
    And no request that may run once ran twice

    Examples:
      | path   |
      | stream |
      | single |
      | safe   |
      | once   |
