Feature: What a target says of itself holds though entries, the coordinator or the store are lost

  # A process that has just started knows nothing until it is told.
  Scenario Outline: A leaving target gets no request from entries that were told, though <fault>
    Given 4 entry processes that send to three services
    When requests come 40 a second for 6 s, after 2 s one target says in its answers that it leaves, and 1 s later <fault>
    Then it gets nothing from an entry later than 100 ms after it has told that entry, restarts apart
    And it gets at most <most> requests from all entries later than 500 ms after it has told the first one

    Examples:
      | fault                                      | most |
      | the store is away                          | 0    |
      | the store says again that it is ready      | 0    |
      | its registration lapses and comes back     | 0    |
      | the coordinator is killed                  | 0    |
      | the coordinator starts again               | 4    |
      | an entry starts again                      | 4    |
      | an entry is frozen for 1 s                 | 0    |
