Feature: An object of the store that is too large to be used hides no other one

  # Guards against a list that no entry can read, and entries that answer 503, since one registration is too large.
  Scenario Outline: An entry starts beside a registration of <mb> MB with <what>
    Given a store with three servers and a registration of <mb> MB with <what>
    When an entry starts to follow it
    Then the entry knows the three servers, not the large one, and version 4
    And within 1500 ms it knows that a server leaves now, and version 9
    And no task of the entry has ended

    Examples:
      | mb | what              |
      | 9  | an unknown field  |
      | 9  | a deep value      |
      | 9  | a long number     |
      | 9  | many models       |
      | 9  | many fields       |
      | 20 | an unknown field  |
      | 1  | many models       |

  # Guards against a watch that fails at each change of a registration that is too large.
  Scenario Outline: A registration of <mb> MB with <what> comes while an entry <duty>
    Given an entry that follows a store with three servers and a configuration
    And the entry <duty>
    When a registration of <mb> MB with <what> comes, changes and goes
    Then within 1500 ms it knows that a server leaves now, and version 9
    And the large one is known by no entry, and no call was unanswered
    And no task of the entry has ended

    Examples:
      | mb | what             | duty                  |
      | 9  | an unknown field | follows               |
      | 9  | many models      | follows               |
      | 9  | an unknown field | coordinates the others |

  # Guards against entries that follow nothing since the coordinator went, as each has to read a large registration.
  Scenario Outline: <fault> while a registration of 9 MB with <what> stands in the store
    Given 4 entries of a site that follow a store with three servers
    And a registration of 9 MB with <what> stands in the store
    When <fault>, and a server starts to leave
    Then within 1900 ms all entries but the coordinator know that the server leaves

    Examples:
      | fault                                          | what             |
      | the coordinator gets no answers from the store | an unknown field |
      | the coordinator is killed                      | an unknown field |
      | the coordinator is killed                      | many models      |

  # Guards against a configuration that can't be read beside an object that is too large.
  Scenario: A large object stands beside the configuration
    Given a store with three servers and an object of 9 MB beside the configuration
    When an entry starts to follow it
    Then the entry knows the three servers, not the large one, and version 4
    And within 1500 ms it knows that a server leaves now, and version 9
    And no task of the entry has ended

  # Guards against a value that is kept in memory until its end, or that holds up other tasks.
  Scenario Outline: A value without an end, of <what>, is read in bounded memory
    When 64 MB of a list are read whose first registration never ends, of <what>
    Then no more than 4 MB were in use, and no part took longer than 200 ms

    Examples:
      | what     |
      | text     |
      | brackets |
      | models   |
      | numbers  |

  # Guards against values that are cut, or lost, beside a large one.
  Scenario: Large values are replaced, and nothing else
    When 2000 generated lists are read in generated pieces
    Then each has its sound objects unchanged, and marks in place of the large ones
