Feature: All entries together send no more repeats to a service than the bound allows
  In any window, requests and a constant allow a number of arrivals beyond the first of each request. The
  constant is shared by entries that are killed, cut off and handed from one coordinator to the next.

  # Guards against parts of the constant that are spent twice: by an entry and the process that replaces it,
  # or on both sides of a cut.
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
