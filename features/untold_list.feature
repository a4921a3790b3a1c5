Feature: Entries keep their coordinator while the list of targets is too long for a message

  # Guards against links between entries that end again and again, as another writer's registrations
  # make the list of targets too long for one message: each entry loses its coordinator.
  Scenario Outline: <count> registrations with <what> come
    Given 3 entries of a site that follow a store with three servers
    When <count> registrations with <what> come
    Then within 5000 ms all entries know them all
    And in the next 3 s no link ends at a message that is too long
    And within 2000 ms all entries know that a server leaves which does so now

    Examples:
      | count | what               |
      | 20    | adapters of 250 KB |
      | 600   | names of 1 KB      |
      | 1600  | names of 1 KB      |

  # Guards against the same where each entry needs the complete list.
  Scenario Outline: The coordinator is killed while <count> registrations with <what> stand in the store
    Given 3 entries of a site that follow a store with three servers
    When <count> registrations with <what> come
    Then within 5000 ms all entries know them all
    When the coordinator is killed, and another one follows
    Then in the next 3 s no link ends at a message that is too long
    And within 2000 ms all entries know that a server leaves which does so now

    Examples:
      | count | what               |
      | 20    | adapters of 250 KB |
      | 600   | names of 1 KB      |
      | 1600  | names of 1 KB      |

  # Guards against entries that go on reading the store once the list can be told again.
  Scenario: The registrations go
    Given 3 entries of a site that follow a store with three servers
    When 1600 registrations with names of 1 KB come
    Then within 5000 ms all entries know them all
    When they go again
    Then within 5000 ms the followers know the three servers, and rely on the coordinator
