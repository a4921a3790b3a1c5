Feature: Streams that began at an entry out of touch go on elsewhere once it is in touch again

  # Guards against records of streams that are given up as the entry at which they began is cut off
  # from the others for some seconds: the streams were rejected for the rest of their lives.
  Scenario Outline: An entry of <count> is cut off while a version joins, and then it <then>
    When streams begin at one of <count> entries in <plays> plays, cut off from the others while a version joins, and it <then> after that
    Then at least 0.9 of the streams that were taken up were found in time
    And each was found at the version that began it
    And no entry sends over 5000 bytes again in a second, and none has any left at the end

    Examples:
      | count | plays | then  |
      | 24    | 10    | stays |
      | 24    | 10    | stops |
      | 48    | 5     | stays |

  # Guards against a record that is sent again as a cut heals and replaces a later one.
  Scenario Outline: A record that comes late replaces no other of its stream, <known>
    Given an entry that knows of a stream <known>
    When it is sent again that the stream began at v1, as change <change>
    Then it finds <version> for the stream

    Examples:
      | known             | change | version |
      | nothing           | 0      | v1      |
      | v1, as change 0   | 0      | v1      |
      | v2, as change 0   | 0      | v2      |
      | v2, as change 1   | 0      | v2      |
      | v2, as change 1   | 2      | v2      |

  # Guards against a version that was never used since not all entries knew, and is told to them later.
  Scenario: A change that was held back is not sent again
    Given an entry that can reach none of 2 others
    When it begins a stream at v1 and would retry it at v2, and reaches them 1.5 s later
    Then the others know nothing of the stream 2 s later
