Feature: Entries find the version that began a stream, although they stand still and datagrams are lost

  # Guards against resumptions that are rejected because an entry that was asked, or this one, was late.
  Scenario Outline: Streams are taken up, <versions>, processes stand still for <ms> ms, <lost> lost
    When streams at <versions> are begun and taken up in 10 plays, with stalls of <ms> ms and <lost> of the datagrams lost
    Then at least 0.9 of the streams that were taken up were found in time
    And each was found at the version that began it

    Examples:
      | versions | ms   | lost |
      | v1       | 0    | 0    |
      | v1       | 20   | 0    |
      | v1       | 50   | 0    |
      | v1       | 100  | 0    |
      | v1       | 400  | 0    |
      | v1       | 1000 | 0    |
      | v1       | 0    | 0.3  |
      | v1       | 20   | 0.3  |
      | v1       | 50   | 0.3  |
      | v1       | 100  | 0.3  |
      | v1       | 400  | 0.3  |
      | v1       | 1000 | 0.3  |
      | v1 v2    | 100  | 0.3  |
      | v1 v2    | 400  | 0.3  |

  # Guards against callers that wait for an answer that can't come.
  Scenario Outline: A stream that no entry knows is rejected at once, <gone> of 12 entries are gone
    When streams that no entry knows are taken up, and <gone> of the entries have gone
    Then each was rejected within <ms> ms

    Examples:
      | gone | ms  |
      | 0    | 20  |
      | 1    | 200 |
      | 6    | 200 |

  # Guards against a list of targets that is not relied on because the process was late, however new the list is.
  Scenario: A list of targets that is read again and again stays current on a process that stands still
    When entries stand still for 400 ms by turns in 5 plays, and read the list of targets every 0.4 s
    Then they take it for current at 0.99 of the moments at which they run
