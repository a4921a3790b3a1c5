Feature: Refusals
  Guards against late refusals, refused requests that run, and unlimited retries.

  Scenario Outline: Admission refuses at once what it can't serve
    Given a site with one entry and a model target of 1 slot, a queue of <queue> and <service> ms a run
    When <count> requests with a deadline of <deadline> ms come at once
    Then some are answered and the others refused within 1000 ms with <name>
    And none of the refused ran at the engines

    Examples:
      | queue | service | count | deadline | name                 |
      | 2     | 100     | 8     | 20000    | QUEUE_FULL           |
      | 64    | 3000    | 8     | 7000     | DEADLINE_UNREACHABLE |

  Scenario Outline: A retry storm is bounded, and what may have run is never told "not run"
    Given a site with 3 model targets and an entry that may retry a tenth of requests and 3 more
    When the engines' work suffers <fault>
    And 20 requests come at once
    Then the engines were asked at most 25 times
    And each request is told that its outcome is unknown

    Examples:
      | fault |
      | error |
      | drop  |

  Scenario: The queue's order is that of a sorted list
    Then the admission queue grants in the order of a naive sorted list
