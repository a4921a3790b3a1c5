Feature: Targets that name a request limit get no more from all entries together

  # Guards against a limit that is passed on to callers and kept by no entry, or by each for itself.
  Scenario Outline: A target gets at most the requests that it takes, <of>, at <limit> a second
    Given <entries> entry processes that send to <of>
    When requests come <per_s> a second for 14 s, and after 2 s <limited> of these targets name a limit of <limit> a second
    Then each of these got at most the limit and one request more in any 4 s, from 0.5 s on
    And each of these got at least 0.8 of its limit in the last 8 s
    And each request was answered within 3.5 s

    Examples:
      | entries | of              | limited | limit | per_s |
      | 4       | the only engine | 1       | 1     | 20    |
      | 4       | three engines   | 1       | 1.1   | 20    |
      | 4       | three engines   | 3       | 5     | 40    |
      | 4       | three services  | 1       | 1     | 20    |
      | 4       | three services  | 3       | 1     | 20    |

  Scenario: Many entries keep within one limit
    Given 24 entry processes that send to three services
    When requests come 60 a second for 14 s, and after 2 s 1 of these targets name a limit of 1 a second
    Then each of these got at most the limit and one request more in any 4 s, from 0.5 s on
    And each request was answered within 3.5 s
