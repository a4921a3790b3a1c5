Feature: Another writer's object in place of the coordinator's lease leaves no site without one

  # Guards against a lease that can't be read, after which no entry coordinates and an entry ends.
  Scenario Outline: The lease is <odd>, <trouble>
    Given a site of 3 entries that follow a store of era <era>
    When the lease is replaced by <odd>, <trouble>
    Then within 8000 ms an entry coordinates under a token above all before
    And no token was held by two instances
    And no lower token came after a higher one
    And no task of an entry has ended, and each logged the lease as unreadable at most once

    Examples:
      | era | odd                     | trouble                       |
      | 0   | a text                  | and nobody fails              |
      | 1   | an empty object         | and nobody fails              |
      | 1   | a deeply nested value   | and nobody fails              |
      | 1   | fields of other types   | and nobody fails              |
      | 1   | a token beyond all      | and nobody fails              |
      | 1   | a port beyond all       | and nobody fails              |
      | 1   | an address with a zero  | and nobody fails              |
      | 1   | a holder of 300000 bytes | and nobody fails             |
      | 0   | a text                  | and all are killed            |
      | 1   | an empty object         | and all are killed            |
      | 1   | a deeply nested value   | and all are killed            |
      | 1   | fields of other types   | and all are killed            |
      | 1   | a token beyond all      | and all are killed            |
      | 1   | a port beyond all       | and all are killed            |
      | 1   | an address with a zero  | and all are killed            |
      | 1   | a holder of 300000 bytes | and all are killed           |
      | 0   | a lease of nobody       | and nobody fails              |
      | 1   | a lease of nobody       | and all are killed            |
      | 1   | an empty object         | and the coordinator is killed |
      | 1   | a port beyond all       | and the coordinator is killed |

  # Guards against a token from the store's revision that a restore doesn't exceed.
  Scenario: The lease is a text at a high revision, and the store is restored after it was taken over
    Given a site of 3 entries that follow a store of era 1
    And the store has made 3000000 changes
    When the lease is replaced by a text, and nobody fails
    Then within 8000 ms an entry coordinates under a token above all before
    When the store is restored to a copy of the last second, and nobody fails
    Then within 8000 ms an entry coordinates under a token above all before
    And no token was held by two instances
    And no lower token came after a higher one
