Feature: The platform's faults
  Guards against failed calls while the object API is slow, failing or hanging, and against
  rolls that do not complete afterwards.

  Scenario Outline: Callers are served while the object API is <fault> for <seconds> s
    Given a platform site with two entries that serves "a@1:300:r2 b@1:300"
    When the platform's API is <fault> for <seconds> s while every name is sampled
    Then none of the platform samples failed
    When the platform site rolls "a@2:300:r2 b@1:300"
    Then the platform site holds just that within 10 s

    Examples:
      | fault | seconds |
      | error | 10      |
      | hang  | 10      |

  Scenario: A bundle is rolled while the object API is slow
    Given a platform site with two entries that serves "a@1:300:r2 b@1:300"
    When the platform's API is slow
    And the platform site rolls "a@2:300:r2 b@1:300" while every name is sampled
    Then none of the platform samples failed
