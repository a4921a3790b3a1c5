Feature: What a large region costs a process follows what changes, not what there is
  Guards against full scans of all placement records or targets for one request or round, and
  against indexes whose results differ from those of a full scan.

  Scenario Outline: The instance list is read as its size allows: <case>
    Given an instance list of <size> bytes that may take <rate> bytes a second
    And it was read at "<readings>" while "<sought>" was sought in vain
    Then it is read next at <next> ms

    Examples:
      | case                                  | size   | rate | readings           | sought | next   |
      | never read                            | 102000 | 5000 | never              | nobody | 0      |
      | a short list                          | 1000   | 5000 | 0                  | nobody | 2000   |
      | just as much as may be                | 10000  | 5000 | 0                  | nobody | 2000   |
      | 730 targets                           | 102000 | 5000 | 0                  | nobody | 20400  |
      | 730 targets once more                 | 102000 | 5000 | 0 20400            | nobody | 40800  |
      | a minute at the longest               | 400000 | 5000 | 0                  | nobody | 60000  |
      | a minute at the longest again         | 400000 | 5000 | 0 60000            | nobody | 120000 |
      | no limit                              | 102000 | 0    | 0                  | nobody | 2000   |
      | it failed                             | 102000 | 5000 | 0 20400fails       | nobody | 22400  |
      | an early reading is paid for later    | 102000 | 5000 | 0 5000             | nobody | 40800  |
      | a target is sought                    | 102000 | 5000 | 0                  | t9     | 100    |
      | it is sought on, and that was in debt | 102000 | 5000 | 0 5000             | t9     | 20500  |
      | it was sought often enough            | 102000 | 5000 | 0 100 20500 40900  | t9     | 81600  |
      | sought, no limit                      | 102000 | 0    | 0                  | t9     | 100    |
      | sought after a failure                | 102000 | 5000 | 0 100fails         | t9     | 2100   |

  Scenario: Whoever keeps being sought can't make the instance list cost more
    Given an instance list of 102000 bytes that may take 5000 bytes a second
    When new targets are sought all the time for 30 minutes
    Then the readings took at most 5000 bytes a second and two lists

  Scenario: A record that names an unknown target has the instance list read at once
    Given an entry's follower of an instance list of 102000 bytes that looks every 30000 ms
    And it has read the list, which does not name "t9" yet
    When the list names "t9" and a placement record does too
    Then the entry knows "t9" long before the next regular reading

  Scenario: A target at a new address is found at once when its connection is lost
    Given an entry's follower of an instance list of 102000 bytes that looks every 50 ms
    And it has read the list, which does not name "t9" yet
    When the connection to "t1" is lost and the list gives it a new address
    Then the entry knows the new address of "t1" long before the next regular reading

  Scenario: A record is decoded once for each version
    Given a mirror with 50 placement records
    When every record is read three times by each way of reading
    Then 50 records were decoded
    When one record changes, one is deleted and one can't be read
    Then 2 more were decoded
    And the unreadable one is left out by who may go on and refused to who may not

  Scenario: A directory finds what a scan of all its targets finds
    Then in any order of events its candidates are those of the scan, in the same order

  Scenario: What a connection to a former address tells late hides nothing
    Given target "t1" was listed, then listed at a new address
    When it says "notes@1" there and "maps@1" over its former connection
    Then its directory's candidates are those of the scan, "t1" with "notes@1" among them

  Scenario: An engine's keeper decides by what a scan of all records gives
    Then in any order of events its situation is that of the scan

  Scenario: A keeper's round goes over no records while none changes
    Given a mirror with 50 placement records
    When the keeper's situation is asked for 100 times with the same report
    Then 50 records were decoded
    And the mirror was gone through once
