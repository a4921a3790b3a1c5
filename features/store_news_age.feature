Feature: An entry knows how old the coordinator's news of the store is

  # Guards against a configuration, or a list of targets, that is used for longer than allowed, as an
  # update that waited in a socket counted from when it was read.
  Scenario Outline: An update arrives late
    When an entry reads an update <late> ms after the report that it answers, of news of <age> ms
    Then the news counts as <counted> ms old

    Examples:
      | late | age | counted |
      | 0    | 300 | 300     |
      | 200  | 300 | 300     |
      | 900  | 300 | 1000    |
      | 5000 | 300 | 5100    |

  # Guards against followers that call the store themselves though nothing is wrong.
  Scenario: Nothing is late
    When 5 plays of entries that follow a coordinator are played without a disturbance
    Then no follower takes the coordinator's news for too old

  # Guards against an entry that takes the version it knows for the only one by the list of a coordinator
  # whose machine was suspended, as the age that it sends leaves out that time.
  Scenario Outline: The coordinator's machine was suspended for <suspended> ms
    When a coordinator sends its list as its machine runs again after <suspended> ms in suspend
    Then the entry's list is <state>

    Examples:
      | suspended | state       |
      | 0         | current     |
      | 5000      | not current |
