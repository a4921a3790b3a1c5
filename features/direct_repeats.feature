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
      | once a coordinator knows nobody yet  | a new coordinator tells of no part                | 0    |
