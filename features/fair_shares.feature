Feature: Workspaces share the room of a service by weight while there isn't enough for all

  # Guards against shares that leave room unused, or limit a workspace that asks for less than its own.
  Scenario Outline: Room is divided among workspaces that ask for <asked>
    Given a service that serves 1000 tokens a second, of which 800 are divided, and the weights <weights>
    When its workspaces ask for <asked> tokens a second
    Then the limited workspaces get <limited>

    Examples:
      | weights | asked         | limited        |
      | 1 1 1   | 100 100 800   | nothing        |
      | 1 1 1   | 100 100 4000  | - - 600        |
      | 1 1 1   | 900 900 900   | 267 267 267    |
      | 1 1 3   | 900 900 900   | 160 160 480    |
      | 2 1 1   | 100 2000 2000 | - 350 350      |
      | 1       | 9000          | nothing        |

  # Guards against one workspace that takes the room of all others, also once nobody divides it.
  Scenario Outline: A workspace asks for 8 times its usual demand at 24 entries, the coordinator <state>
    When 24 entries serve 16 workspaces, one of which asks for 8 times its usual demand, the coordinator <state>
    Then the other workspaces keep at least 0.95 of their answers in time, and under 0.5 without shares
    And at usual demand no share is issued, and each workspace gets the same answers with shares as without

    Examples:
      | state                      |
      | stays                      |
      | is lost 3 s after it began |

  # Guards against requests that are put behind others without a reason, and against any that aren't.
  Scenario Outline: A request of workspace north is sent at its rank, <state>
    Given an entry with <count> workspaces before an engine, <state>
    When north sends a stream
    Then the engine gets it at rank <rank>, and <lines> line tells that it exceeds a share

    Examples:
      | count | state                                | rank | lines |
      | 2     | north is limited                     | 9    | one   |
      | 2     | south is limited                     | 1    | no    |
      | 2     | north is limited below its share     | 1    | no    |
      | 1     | north is limited                     | 1    | no    |
      | 2     | north is limited, no weight is named | 1    | no    |
      | 2     | north is limited, without the switch | 1    | no    |
      | 2     | north was limited 2800 ms ago        | 9    | one   |
      | 2     | north was limited 3100 ms ago        | 1    | no    |

  # Guards against a shortage that is taken from requests which would be late at an idle engine too.
  Scenario Outline: An entry with <count> workspaces observes <times> shortage, <queued> ms of prompts wait
    Given an entry with <count> workspaces before an engine, south is limited
    And the engine has <queued> ms of prompts of other workspaces to read at rank 1
    When north sends a stream of <tokens> prompt tokens
    Then <times> shortage is observed

    Examples:
      | count | queued | tokens | times |
      | 2     | 1000   | 50     | one   |
      | 2     | 100    | 50     | no    |
      | 2     | 1000   | 12000  | no    |
      | 1     | 1000   | 50     | no    |

  # Guards against a Retry-After at which the share is still used up.
  Scenario: A request that can't be in time behind the others is refused until its share covers it
    Given an entry with 2 workspaces before an engine, north is limited
    And the engine has 5000 ms of prompts of other workspaces to read at rank 9
    When north sends a stream
    Then it is refused with 429 and code 2020, to return when its share covers it
    And an explanation names 2020 and rank 9, the parts of its costs are first_event alone, and changes no share
    And south's stream is sent at rank 1

  # Guards against a Retry-After, and a list of refused requests, that grow as long as a shortage lasts.
  Scenario: Requests whose callers won't return delay no others
    Given an entry with 2 workspaces before an engine, north is limited
    And the engine has 5000 ms of prompts of other workspaces to read at rank 9
    When north sends a stream 20 times
    Then it is refused with 429 and code 2020, to return when its share covers it

  Scenario Outline: A plain target's last room is left to the workspaces within their shares, <key>
    Given an entry with 2 workspaces before an engine, north is limited
    And the target runs <count> plain requests of 4
    When a plain request with the key <key> is sent
    Then it is answered after <least> to <most> ms

    Examples:
      | key | count | least | most |
      | n-1 | 4     | 225   | 400  |
      | n-1 | 3     | 0     | 200  |
      | s-1 | 4     | 0     | 200  |

  # Guards against an explanation that tells nothing of the wait for the last room.
  Scenario: The wait for a plain target's last room is explained
    Given an entry with 2 workspaces before an engine, north is limited
    And the target runs 4 plain requests of 4
    Then an explanation tells that north's plain request waits for room for at most 225 ms, and south's doesn't

  # Guards against a request that is held for room until its own time limit ends.
  Scenario: A plain request with a short time limit waits for a part of it for the last room
    Given an entry with 2 workspaces before an engine, north is limited
    And the target runs 4 plain requests of 4
    When a plain request with the key n-1 and a time limit of 160 ms is sent
    Then it is answered after 120 to 160 ms

  Scenario: A shortage at one entry limits a workspace at all entries
    Given a coordinator with an entry that serves two workspaces
    When the entry observes a shortage while north asks for 9 times what is served to south
    Then all entries are told north's share, also one that joins later, and keep it under a coordinator of an earlier version

  # Guards against a shortage in which nobody is limited while one coordinator follows another.
  Scenario Outline: Shares stay in force under a new coordinator until it divides room or they expire, <ms> ms
    Given a coordinator with an entry that serves two workspaces
    When the entry observes a shortage while north asks for 9 times what is served to south
    And another coordinator follows and <divides> for <ms> ms
    Then the share in force for north is <share>

    Examples:
      | divides           | ms   | share            |
      | issues no shares  | 0    | the predecessor's |
      | issues no shares  | 2900 | the predecessor's |
      | issues no shares  | 3100 | none             |
      | limits north anew | 0    | its own          |
      | limits north anew | 3100 | its own          |

  # Guards against a shortage that is only requests whose answers don't count.
  Scenario Outline: An answer with status <status> counts as service
    Given an entry with 2 workspaces before an engine, south is limited
    And the target answers its first request with <status>
    When north sends a plain request that runs at most once
    Then it is answered with <status>, and counts as asked and as served

    Examples:
      | status |
      | 200    |
      | 404    |
      | 500    |

  # Guards against shares that an entry doesn't apply until they change, as it reads the weights later.
  Scenario: An entry gets shares before the configuration that names a weight
    Given an entry with 2 workspaces before an engine, no weight is named yet
    When it is told that north is limited, and then reads a weight
    Then north is limited there, also after the lease, which the coordinator's messages renew

  # Guards against rates that messages round to 0: a plain request counts as one token.
  Scenario Outline: Each of <entries> entries gets few plain requests of a workspace
    When <entries> entries report that south asks for <south> and north for <north> plain requests a second, half are served
    Then north's share is <share> plain requests a second at the entries

    Examples:
      | entries | south | north | share |
      | 24      | 0.4   | 4     | 32.64 |
      | 2       | 0.1   | 0.4   | 0.2   |

  # Guards against a configuration that is applied in part, or whose fault isn't named.
  Scenario Outline: A weight that can't be
    When a configuration with the weight <weight> is read from the store
    Then the configuration is <result>

    Examples:
      | weight | result     |
      | 2.5    | read       |
      | 0      | unreadable |
      | -1     | unreadable |
      | "two"  | unreadable |
      | 1e400  | unreadable |

  # Guards against shares that change while entries of two versions exchange the configuration.
  Scenario Outline: An entry of an earlier version passes a configuration on without weights, <order>
    Given an entry with 2 workspaces before an engine, no weight is named yet
    When it gets version 3 with a weight of 2.5 from <order>
    Then north has that weight in version 3, also as the entry passes it on

    Examples:
      | order                                      |
      | the store, and then without it from a peer |
      | a peer without it, and then the store      |

  # Guards against a header that callers don't take for a number.
  Scenario: A long wait for a share is told as a decimal number
    Given an entry with 2 workspaces before an engine, north is limited
    And the engine has 5000 ms of prompts of other workspaces to read at rank 9
    When north's share becomes 0.0001 tokens a second
    And north sends a stream
    Then it is refused with 429 and code 2020, to return after over 1000000 s, as a decimal number
