Feature: Entries that are lost, or lose touch, send a limited target no more than its limit

  # Guards against permits that are used by two lifetimes of an entry, or of a coordinator, and
  # against entries that go on alone when nobody issues permits.
  Scenario Outline: A target gets at most the requests that it takes while <fault>
    Given 4 entry processes that send to the only engine
    When requests come 20 a second for 13 s, and after 2 s 1 of these targets name a limit of 2 a second
    And at 7 s <fault>
    Then each of these got at most the limit and one request more in any 4 s, from 0.5 s on
    And each request to an entry that went on was answered within 3.5 s

    Examples:
      | fault                                                      |
      | an entry that doesn't coordinate is killed                 |
      | the coordinator is killed                                  |
      | the coordinator is killed and starts again                 |
      | the coordinator is asked to stop                           |
      | an entry that doesn't coordinate is frozen for 1.5 s       |
      | the coordinator is frozen for 4 s                          |
      | the store is away                                          |
