Feature: An entry that reaches targets directly bounds what it sends again, avoids and writes

  Scenario Outline: Repeats keep to the entry's share of the bound
    Given a retry bound of 0.2 of the requests and 40 more, shared by <entries> entries
    When <requests> requests come and all want to be sent again
    Then at most <most> and at least <least> of them may be

    Examples:
      | entries | requests | most | least |
      | 1       | 0        | 40   | 25    |
      | 4       | 0        | 10   | 6     |
      | 4       | 100      | 30   | 20    |

  # Guards against a repeat whose time was read twice, so that it was never found again.
  Scenario: A repeat that wasn't sent is returned, though time goes on between readings
    Given a retry bound of 0 of the requests and 100 more, shared by 1 entries
    And a clock that goes on with each reading
    When a request takes 3 repeats and sends 1
    Then 1 repeat counts

  Scenario: Repeats that have left the window no longer count
    Given a retry bound of 0.2 of the requests and 40 more, shared by 4 entries
    When all repeats are spent and the window has passed
    Then another one may be sent

  Scenario Outline: A failing target is avoided until one symptom takes most of them
    Given <all> targets of which <failing> fail all requests
    Then <kept> targets are left to choose from

    Examples:
      | all | failing | kept |
      | 9   | 0       | 9    |
      | 9   | 2       | 7    |
      | 9   | 9       | 9    |
      | 1   | 1       | 1    |

  Scenario: A target that failed is tried again after a while
    Given 2 targets of which 1 fail all requests
    When 6000 ms have passed without a request
    Then 2 targets are left to choose from

  Scenario: Whatever is relayed, no event is cut, doubled or left out
    Then any pieces of any stream give its whole events once and in order

  Scenario Outline: A stream that goes on at another target
    Given the events 1 to <had> of a stream were relayed
    When the next target sends the events <first> to 9
    Then the caller <gets>

    Examples:
      | had | first | gets                        |
      | 4   | 5     | has each event once         |
      | 4   | 1     | has each event once         |
      | 4   | 3     | has each event once         |
      | 9   | 9     | has each event once         |
      | 4   | 6     | is not given what follows a gap |

  Scenario: A flood of log lines is bounded and counted
    Given an event log that nobody reads
    When 100000 events are written within a second
    Then writing took under 5 s, all are counted and memory holds under 1 MB
