Feature: Entries follow a request limit that changes or ends

  Scenario Outline: A limit <what>
    Given 4 entry processes that send to the only engine
    When requests come 20 a second for 11 s, and after 2 s 1 of these targets name a limit of <limit> a second
    And at 6 s the targets name <later>
    Then from 7.5 s on each of these got <count> requests

    Examples:
      | what              | limit | later      | count        |
      | ends              | 1     | none       | at least 50  |
      | rises             | 1     | 10         | at least 20  |
      | falls             | 10    | 1          | at most 5    |
      | becomes 0         | 10    | 0          | at most 1    |
      | is no number      | 1     | a lot      | at most 5    |

  Scenario: A limit of 0 that ends is noticed
    Given 4 entry processes that send to the only engine
    When requests come 20 a second for 12 s, and after 2 s 1 of these targets name a limit of 0 a second
    And at 4 s the targets name none
    Then from 9 s on each of these got at least 40 requests
