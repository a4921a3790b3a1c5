Feature: A newer configuration reaches every entry, and an older one never comes back
  Four entries watch a store; the first one coordinates. An entry that can't read the store gets newer
  versions from the coordinator, which gets them from any entry that can.

  Scenario Outline: A key is taken away while <who> cut from the store
    Given 4 entries of a site that serves workspaces
    When <who> cut from the store and the key n-1 is taken away
    Then within <limit_ms> ms all entries hold version 9, in which nobody holds n-1

    Examples:
      | who                               | limit_ms |
      | nobody is                         | 2000     |
      | one follower is                   | 2000     |
      | the coordinator is                | 2000     |
      | all followers are                 | 2000     |
      | all but one follower are          | 2000     |

  Scenario: Versions come in quick succession while followers are cut from the store
    Given 4 entries of a site that serves workspaces
    When all followers are cut from the store and 20 versions come within 600 ms
    Then within 2000 ms all entries hold version 28
    And no entry has gone back to an older version

  Scenario: An entry whose link and store are lost finds the coordinator again without the store
    Given 4 entries of a site that serves workspaces
    When one follower is cut from the store, loses its link, and the key n-1 is taken away
    Then within 4000 ms all entries hold version 9, in which nobody holds n-1

  Scenario Outline: An entry hears of versions in any order, some of them <broken>
    Then an entry that hears any messages, some of them <broken>, holds the newest whole one

    Examples:
      | broken              |
      | with another digest |
      | cut off             |
      | of another version  |
      | no configuration    |

  Scenario: A peer that doesn't send what it was asked for is asked again at a pace
    Given an entry that hears of a newer version in each of 100 messages within a second
    Then it has asked for it at most 3 times

  Scenario: Any configuration arrives as it was sent
    Then any configuration is decoded as it was encoded

  Scenario: Passing a configuration on spares the store a call for each entry
    Given 4 entries of a site that serves workspaces
    When 5 versions are written 300 ms apart
    Then within 2000 ms all entries hold version 13
    And all entries together read the configuration at most 12 times

  # Guards against weights that no service can be drawn from, which ended requests without an answer.
  Scenario Outline: A route's weights may be any numbers, <weights>
    Given a direct entry before a target that answers and a sound one
    When a configuration with the weights <weights> comes into force
    And the direct caller sends an idempotent request
    Then the direct caller gets its answer

    Examples:
      | weights |
      | 1, 0    |
      | 0, 0    |
      | 2, -1   |
      | 0, -1   |
      | -1, -2  |

  # Guards against weights that no service can be drawn by, which ended requests without an answer.
  Scenario Outline: A weight below zero counts as zero, <weights>
    Given a direct entry before a target that answers and a sound one
    When a configuration with the weights <weights> comes into force
    And the direct caller sends an idempotent request
    Then the direct caller gets its answer

    Examples:
      | weights |
      | 1, 0    |
      | 0, 0    |
      | 2, -1   |
      | 0, -1   |
      | -1, -2  |

  # Guards against an exception on what a request uses and a newer configuration doesn't have.
  Scenario Outline: A request is answered or rejected though a configuration takes away its <part>, as it <moment>
    Given a direct entry whose workspaces have quotas, before a target that takes 300 ms
    When a newer configuration without its <part> comes into force as a request <moment>
    Then the caller has the target's answer, or a rejection that tells its reason

    Examples:
      | part                   | moment                     |
      | route                  | waits for the first quotas |
      | route                  | waits for its model        |
      | route                  | is at its target           |
      | service                | waits for the first quotas |
      | service                | waits for its model        |
      | service                | is at its target           |
      | workspace              | waits for the first quotas |
      | workspace              | waits for its model        |
      | workspace              | is at its target           |
      | quota                  | waits for the first quotas |
      | quota                  | waits for its model        |
      | quota                  | is at its target           |
      | workspaces             | waits for the first quotas |
      | workspaces             | waits for its model        |
      | workspaces             | is at its target           |
      | model                  | waits for the first quotas |
      | model                  | waits for its model        |
      | model                  | is at its target           |
      | time and idle time     | waits for the first quotas |
      | time and idle time     | waits for its model        |
      | time and idle time     | is at its target           |
