Feature: All entries together send no more repeats to a service than the bound allows
  Repeats in a window are limited to a ratio of its requests plus a constant. Guards against exceeding the
  constant when the entries that share it are killed, partitioned or get a new coordinator.

  # Guards against shares of the constant spent twice: by an entry and its replacement process, or on both
  # sides of a partition.
  Scenario Outline: The constant is not spent twice while <trouble>
    Given 4 entries that share 40 repeats in any 2000 ms
    When all of them repeat as often as they may, and <trouble>
    Then no 2000 ms have more than 40 repeats

    Examples:
      | trouble                                               |
      | nothing happens                                       |
      | each entry is killed and started again every 700 ms   |
      | the coordinator is killed and started again every 700 ms |
      | the coordinator and two others are cut off            |
      | two followers are cut off                             |

  # Guards against the same fault in arbitrary sequences of failures.
  Scenario: No order of kills, cuts, freezes and handovers has the constant spent twice
    Then in any play of 4 entries at most 40 of 40 repeats are spent in any window

  Scenario: An entry that is told of its part without a gap may use it
    Given 4 entries that share 40 repeats in any 2000 ms
    When all of them repeat as often as they may, and nothing happens
    Then 2000 ms have at least 20 repeats

  # Guards against a part spent twice by an entry that stood still, reads messages that waited for it, and
  # is cut off.
  Scenario: The constant is not spent twice as an entry reads messages that waited
    Then at most 40 of 40 repeats are spent in any window as one of 4 entries reads messages that waited

  # Guards against an entry that uses its part after the coordinator has given it to others, as a message
  # that waited while the machine was suspended counted from when it was read.
  Scenario Outline: The lease of a part counts from the report that a message answers, also in suspend
    When the machine is suspended for <suspended> ms before the entry reads its part, and runs for <later> ms
    Then the entry's part of the constant is <part>

    Examples:
      | suspended | later | part |
      | 0         | 2900  | 0.25 |
      | 0         | 3100  | 0    |
      | 2000      | 900   | 0.25 |
      | 2000      | 1100  | 0    |

  # Guards against many retries at once as a machine runs again, for requests whose window has passed in
  # suspend.
  Scenario Outline: What requests allow in repeats lapses in suspend
    When an entry counts 100 requests, and its machine is suspended for <suspended> of a window
    Then it <may> repeat a request

    Examples:
      | suspended | may     |
      | 0.9       | may     |
      | 1.1       | may not |

  Scenario Outline: A part is not used <when>
    Given an entry that was told of its part for 30 s
    When <what>
    Then its part of the constant is <part>

    Examples:
      | when                                 | what                                              | part |
      | until it has been told for long      | its process starts again and is told for 12900 ms | 0    |
      | later, though                        | its process starts again and is told for 13100 ms | 0.25 |
      | while its lease lasts, it is         | it is told nothing for 2900 ms                    | 0.25 |
      | after its lease                      | it is told nothing for 3100 ms                    | 0    |
      | after the machine was suspended      | the machine is suspended for 3100 ms              | 0    |
      | by an entry that is told anew        | it is told nothing for 3100 ms, and then again    | 0    |
      | by a message that was read late      | it reads a message 2000 ms late, and is told nothing for 1100 ms | 0 |
      | longer than its age allows           | it reads a message 2000 ms late, and is told nothing for 900 ms | 0.25 |
      | by a message of unknown age          | it reads a message of unknown age after 3100 ms   | 0    |
      | once a coordinator knows nobody yet  | a new coordinator tells of no part                | 0    |
