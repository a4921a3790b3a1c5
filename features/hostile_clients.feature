@alone
Feature: Callers that don't behave take neither an entry's memory nor its descriptors

  # Guards against a process that collects whatever all of its callers send and are sent: it ran out of memory.
  Scenario Outline: <count> callers <behaviour>
    Given an entry process with at most <memory> MB and <descriptors> descriptors
    When <count> callers <behaviour>
    Then the process lives, within its memory and its descriptors
    And an ordinary caller got its answer beside them, and gets one afterwards

    Examples:
      | count | memory | descriptors | behaviour                                           |
      | 120   | 80     | 2000        | send a whole body of 1 MB                           |
      | 120   | 80     | 2000        | send a body of 1 MB but its last byte               |
      | 120   | 80     | 2000        | send a body of 1 MB in chunks, the end byte by byte |
      | 120   | 80     | 2000        | send a body of 8 MB in chunks, unannounced          |
      | 120   | 80     | 2000        | announce a body of 1 TB and send it                 |
      | 120   | 80     | 2000        | send 8000 bytes of chunk extension for each byte    |
      | 120   | 80     | 2000        | ask for 2 MB and read nothing                       |
      | 120   | 80     | 2000        | ask for 2 MB and read it slowly                     |
      | 300   | 80     | 2000        | ask for a stream of 4 MB and read it slowly         |
      | 200   | 80     | 2000        | send requests without an end and read no answer     |
      | 600   | 80     | 400         | connect and send nothing                            |
      | 120   | 80     | 2000        | send a body in chunks of a byte                     |

  # Guards against limits that refuse what the pages allow.
  Scenario: A single request of the largest legal size is served in calm
    Given an entry process with at most 80 MB and 400 descriptors
    When a caller sends a body of 1 MB and asks for 8 MB
    Then it gets its whole answer

  # Guards against a close with unread bytes, whose reset overtakes the refusal.
  Scenario: A caller that still sends learns that its body is over the limit
    Given an entry process with at most 80 MB and 400 descriptors
    When bodies of 8 MB are announced and sent by 20 callers one after the other
    Then each of them reads status 413
