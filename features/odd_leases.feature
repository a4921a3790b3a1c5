Feature: Another writer's object in place of the coordinator's lease or the record of versions is replaced

  # Guards against a lease that can't be read, after which no entry coordinates and an entry ends.
  Scenario Outline: The lease is <odd>, <trouble>
    Given a site of 3 entries that follow a store of era <era>
    When the lease is replaced by <odd>, <trouble>
    Then within 8000 ms an entry coordinates under a token above all before
    And no token was held by two instances
    And no lower token came after a higher one
    And no task of an entry has ended, and each logged what is unreadable at most once

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

  # Guards against a record of versions that stays unreadable.
  Scenario Outline: The record of versions is <odd>, and a software version joins
    Given a site of 3 entries that follow a store of era 1
    And the store holds a record of versions when all entries start again
    When the record is replaced by <odd>, and a software version joins
    Then within 15 s the record names both versions
    And no task of an entry has ended, and each logged what is unreadable at most once

    Examples:
      | odd                      |
      | a text                   |
      | an empty object          |
      | a deeply nested value    |
      | fields of other types    |

  # Guards against a record of versions that stays unreadable after no entry is left that knows the versions.
  Scenario: The record of versions is a text when all entries start again
    Given a site of 3 entries that follow a store of era 1
    And the store holds a record of versions when all entries start again
    When the record is replaced by a text, and all entries are killed
    Then within 15 s the record names the version that serves
    And no task of an entry has ended, and each logged what is unreadable at most once
