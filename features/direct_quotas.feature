Feature: Many entries hold a workspace to its quota together, without asking one another first
  Simulates 16 workspaces of very different sizes in virtual time. Guards against exceeding a quota in any
  window beyond its overage and slack, and against rejecting what a single bucket would admit.

  # "hot middling": all entries spend the same remainder of a quota while they get no updates.
  # "all killed": restarted processes start with a full quota regardless of earlier spending.
  Scenario Outline: <entries> entries, <trouble>
    Given quotas that <entries> entries hold by what the coordinator tells, 2 seeds
    When callers come, with <trouble>
    Then no window has more than it may
    And at most <refused> in 100 of what is within quota is refused

    Examples:
      | entries | trouble                     | refused |
      | 4       | calm                        | 3       |
      | 24      | calm                        | 3       |
      | 24      | hot small                   | 3       |
      | 24      | quota lowered               | 100     |
      | 24      | hot                         | 100     |
      | 68      | hot middling, coordinator lost | 100  |
      | 24      | hot, all killed, coordinator away | 100 |
      | 24      | coordinator lost            | 100     |
      | 24      | hot, coordinator lost       | 100     |
      | 24      | coordinator lost, then hot  | 100     |
      | 24      | hot small, coordinator away | 100     |
      | 24      | entry cut                   | 100     |
      | 24      | hot, entries killed         | 100     |
      | 24      | hot, entries cut            | 100     |
      | 24      | entries cut, then hot       | 100     |

  Scenario: An even split refuses far more, so that the comparison means something
    Given quotas that 24 entries hold by an even split, 2 seeds
    When callers come, with calm
    Then more than 10 in 100 of what is within quota is refused

  Scenario Outline: What is not spent in the end is given back: <request> at a target that <fault>
    Given a direct entry whose workspaces have a quota of 1 request, before a target that <fault>
    When callers of one workspace send <request> 1 times, one after the other
    Then the workspace has spent <spent> of its quota

    Examples:
      | request                     | fault                    | spent |
      | a request that may run once | answers                  | 1     |
      | a request that may run once | fails it                 | 1     |
      | a request that may run once | closes without an answer | 1     |
      | a request that may run once | is not there             | 0     |
      | an idempotent request       | is not there             | 0     |
      | an idempotent request       | fails it                 | 1     |

  Scenario: A refused caller is told when the quota covers its request
    Given a direct entry whose workspaces have a quota of 1 request, before a target that answers
    When callers of one workspace send a request that may run once 2 times, one after the other
    Then the second caller is refused with code 2012
    And it is told to come back within a third of its time

  Scenario: An entry that doesn't know what is left of a quota sends callers elsewhere
    Given a direct entry whose workspaces have a quota of 1 request, before a target that answers
    And no coordinator has told it what is left
    When callers of one workspace send a request that may run once 2 times, one after the other
    Then they are refused with 503 and code 2014, and told to come back within 200 ms

  Scenario: Other workspaces are served while one has used up its quota
    Given a direct entry whose workspaces have a quota of 1 request, before a target that answers
    When callers of one workspace send a request that may run once 5 times, one after the other
    And a caller of the other workspace sends a request that may run once
    Then the second caller is refused with code 2012
    And the caller of the other workspace is answered

  Scenario: Limits hold under any order of reports, losses and changes
    Then any play of entries that are cut off, killed and told late keeps every window within bounds

  Scenario Outline: A bucket that several entries spend from <case>
    Then a level <case>

    Examples:
      | case                                      |
      | never holds more than its capacity        |
      | refills from below zero at the same rate  |
      | keeps what is left when it is resized     |

  Scenario Outline: A coordinator that begins sets quotas aside only for whom it misses
    Given an entry that was told of <told> entries, and begins to coordinate
    When <follow> entries follow it for 2 s
    Then <part> in 100 of the refill is set aside

    Examples:
      | told | follow | part |
      | no   | 1      | 0    |
      | 4    | 4      | 0    |
      | 4    | 3      | 25   |
