Feature: The platform's store comes back from an older copy, and gives revisions out again
  Writes since the copy are lost, including the lease. Each restore raises the store's era.

  Scenario Outline: What the store's answers say of its era, <case>
    Given a store whose answers name the eras <eras>
    Then the era is <era>, with <lines> lines of code 4012

    Examples:
      | case                     | eras         | era | lines |
      | a store that names none  | none, none   | 0   | 0     |
      | the first one            | 3            | 3   | 0     |
      | a restore                | 3, 4, 4      | 4   | 0     |
      | two restores at once     | 3, 5         | 5   | 0     |
      | no number                | 3, x4, 3     | 3   | 1     |
      | a number beyond all      | 3, 99999999999999999999, 3 | 3 | 1 |
      | some answers name none   | 3, none, none, 3 | 3 | 1   |
      | it goes back             | 3, 2         | 2   | 1     |

  Scenario: An answer of the era before that was on its way is dropped
    Given a store whose answers name the eras 3, 4
    When an answer of era 3 comes whose call was sent before the restore
    Then it is dropped, and the era is 4

  # Guards against missed changes whose revisions the store had assigned before the restore.
  Scenario: Servers that register under revisions that were given out before are known
    Given an entry that follows a store of era 1 with three servers
    When the store is restored to a copy without the last 3 changes, and 5 others are made
    Then within 2500 ms the entry knows the server i-9 of these
    And it never lost a server that was registered all the time

  # Guards against two coordinators that order under the same fencing token.
  Scenario Outline: No token is given out twice, <case>
    Given a site of 3 entries that follow a store of era 1
    When the store is restored to a copy <copied>, <trouble>
    Then within 8000 ms an entry coordinates under a token above all before
    And no token was held by two instances

    Examples:
      | case                                  | copied                            | trouble                          |
      | the coordinator goes on               | of the last second                | and nobody fails                 |
      | it has forgotten that there is a lease | from before the first lease      | and nobody fails                 |
      | restored twice                        | of the last second twice          | and nobody fails                 |
      | the coordinator is killed with it     | of the last second                | and the coordinator is killed    |
      | an earlier holder is named            | that names an earlier holder      | and nobody fails                 |
      | an earlier holder is named, and alone | that names an earlier holder      | and the coordinator is killed    |
      | all start again                       | of the last second                | and all are killed               |

  Scenario Outline: Who takes over a lease that the store has forgotten waits, <case>
    Given a lease with a handover of 3000 ms, which <held> before
    When the store comes back <restored> and this instance takes it over at 10000 ms
    Then its first order after the restore may go out at <first> ms

    Examples:
      | case                     | held                  | restored                    | first |
      | nobody ever held it      | nobody held           | as it was                   | 10000 |
      | it knew a holder         | another instance held | without the lease           | 15000 |
      | it held it itself        | this instance held    | without the lease           | 15000 |
      | the copy names itself    | nobody held           | with a lease that names it  | 15000 |
      | the copy names another   | nobody held           | with a lease of another     | 15000 |
