Feature: What an entry takes for a stream's version is what began it

  # Guards against a version that is taken for the only one while another may have begun the stream.
  Scenario: A version is the only one known only if no other can have begun a stream
    Then in any history of versions and lists, no entry takes the wrong version for the only one

  # Guards against a process that takes what waited for it, as it stood still, or what the network has
  # held for new.
  Scenario: A list that its reader gets late is as old as the question for it
    Then no entry that gets late what it asked for takes the wrong version for the only one

  # Guards against a version that entries forgot as they were killed, and the store's record lacks.
  Scenario: A version is the only one known only if no other can have begun a stream before a kill
    Then in any history of versions, kills and records, no entry takes a wrong version for the only

  # Guards against a service whose streams are refused for good once its record and entries are lost.
  Scenario: What was long the only version is known right after a kill, and others only for a lifetime
    Then after a kill of all entries their only version is known once they have read the record
    And after a kill of all entries a version that has left is forgotten 15 s later
    And after a kill of all entries without a record nothing is concluded for 15 s

  # Guards against entries that take one another's first list for all that there was.
  Scenario: Entries that have just started conclude nothing from one another
    Then answers that name one version decide only if one of them is complete

  # Guards against a record that outlives its use, or is overtaken by an earlier one.
  Scenario: Records are kept as long as a stream may be resumed, in any order of arrival
    Then in any order of records and times, an entry finds the latest that is recent enough

  Scenario: Each entry finds the witnesses of a stream by its key
    Then with 360 entries the witnesses of 2000 streams are spread evenly, and change only with an entry of theirs
    And an entry of 360 remembers at most 500 streams and sends at most 2000 bytes a second

  # Guards against a stream that is begun anew, held or forwarded to any version for want of knowledge.
  Scenario Outline: A caller's resumption is answered by what is known, <what>
    Given a direct entry before targets of versions <versions>
    And a record in the store that names <recorded>
    When a caller resumes a stream that began at <began>, and <what>
    Then the caller gets <answer> within 200 ms
    And a counter tells how the take-up ended, if the request is valid

    Examples:
      | versions | recorded | began   | what                           | answer           |
      | v1 v2    | v1 v2    | v1      | names it                       | the rest from v1 |
      | v1 v2    | v1 v2    | v2      | names it                       | the rest from v2 |
      | v1 v2    | v1 v2    | unknown | names it                       | code 2016        |
      | v1 v2    | v1 v2    | v1      | names nothing                  | code 2016        |
      | v1 v2    | v1 v2    | v3      | names it                       | code 2017        |
      | v1       | v1       | unknown | names it                       | the rest from v1 |
      | v1       | v1       | unknown | names nothing                  | the rest from v1 |
      | v1       | v1 v2    | unknown | names it                       | code 2016        |
      | v1       | v1 v2    | v1      | names it                       | the rest from v1 |
      | v1       | nothing  | unknown | names it                       | code 2016        |
      | v1       | nothing  | unknown | names nothing                  | code 2016        |
      | v1       | v1       | v3      | names it                       | code 2017        |
      | v1 v2    | v1 v2    | v1      | names another service's stream | code 2016        |
      | v1 v2    | v1 v2    | v1      | names it twice                 | code 1004        |
      | v1 v2    | v1 v2    | v1      | names an empty ID              | code 1004        |
      | v1 v2    | v1 v2    | v1      | names an ID of 10000 bytes     | code 1004        |

  # Guards against an earlier attempt's version that another entry still takes for the stream's.
  Scenario Outline: A retry at another version is sent only once no entry knows the first one, <network>
    Given 3 entries that tell one another of streams, and <network>
    When the first tells of a stream at v1, and then that it is retried at v2
    Then the retry <outcome>

    Examples:
      | network                                  | outcome                             |
      | nothing is lost                          | is sent, and all others know v2     |
      | the others can't be reached by the retry | is not sent, and all others know v1 |

  # Guards against an attempt at another version that a witness of the stream has not learnt of.
  Scenario Outline: An attempt at another version is sent once all witnesses know, <versions>, cut off at <cut>
    Given 3 entries that tell one another of streams, and nothing is lost
    When the first is to send a stream's attempts at <versions>, and can't reach the others at <cut>
    Then it sends: <sent>

    Examples:
      | versions    | cut   | sent          |
      | v1 v2 v2    | none  | yes yes yes   |
      | v1 v2 v2    | 2     | yes no yes    |
      | v1 v2 v2 v2 | 2 3   | yes no no yes |
      | v1 v2 v1    | 2 3   | yes no no     |
      | v1 v2 v1 v1 | 2     | yes no yes yes |

  Scenario: Datagrams that are lost are sent again
    Given 3 entries that tell one another of streams, and three in ten datagrams are lost
    When the first tells of 200 streams
    Then the others find at least 0.99 of them
