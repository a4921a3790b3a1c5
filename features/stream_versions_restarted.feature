Feature: An entry that has just been started knows what it can rely on

  # Guards against an answer about another stream that reaches an entry after it was started again.
  Scenario Outline: An answer that is late by a restart of its reader counts for no other question
    Given an entry that is started again while <late> is under way to it
    When <count> streams of <version> are looked up at once after the restart, and then it arrives
    Then no stream is taken for one of another version

    Examples:
      | late                     | count | version |
      | an answer that names v1  | 1     | v2      |
      | answers that name v1     | 40    | v2      |

  # Guards against a stream begun at a second version while a witness still knows the first one.
  Scenario: An acknowledgement that is late by a restart of its reader counts for no other record
    Given an entry that is started again while an acknowledgement is under way to it
    When a stream is retried at v2 out of reach of its witnesses, and then it arrives
    Then the retry is held back

  # Guards against streams that are rejected at once by entries that have just been started and are
  # about to read the versions of each service.
  Scenario Outline: A resumption waits for an entry's first read of the record, <record>
    Given 3 entries that have just been started and know v1 from their lists
    When a stream is looked up at each, and the record is <record>
    Then each answers <version> within <ms> ms

    Examples:
      | record                          | version | ms  |
      | read 50 ms later and names v1   | v1      | 120 |
      | read 50 ms later and names none | nothing | 120 |
      | not read                        | nothing | 300 |

  # Guards against an earlier version that an entry still knows which is no longer a witness.
  Scenario: A retry at another version is known to all entries that are asked, after entries joined
    Given an entry that tells two others of 40 streams at v1, before two more entries join
    When it tells of their retries at v2
    Then no entry finds v1 for a stream whose retry was sent
