Feature: An entry finds out on whose behalf a request comes, and passes no key on
  Workspace "north" has the keys n-1 and n-2, "south" has s-1. Guards against targets that get a workspace
  chosen by the caller, or the caller's key.

  Scenario Outline: A caller shows <authorization>
    Given a direct entry that serves workspaces
    When a caller sends the headers "<authorization>"
    Then the caller gets <answer>
    And the target has seen <seen>

    Examples:
      | authorization                                           | answer             | seen                |
      | Authorization: Bearer n-1                               | its answer         | workspace north     |
      | Authorization: Bearer n-2                               | its answer         | workspace north     |
      | authorization: bearer s-1                               | its answer         | workspace south     |
      | AUTHORIZATION: BEARER   s-1                             | its answer         | workspace south     |
      | X-Other: 1                                              | 401 with code 1009 | nothing             |
      | Authorization:                                          | 401 with code 1009 | nothing             |
      | Authorization: Bearer                                   | 401 with code 1009 | nothing             |
      | Authorization: n-1                                      | 401 with code 1009 | nothing             |
      | Authorization: Basic n-1                                | 401 with code 1009 | nothing             |
      | Authorization: Bearer n-1 s-1                           | 401 with code 1009 | nothing             |
      | Authorization: Bearer n-1, Bearer s-1                   | 401 with code 1009 | nothing             |
      | Authorization: Bearer n-11                              | 401 with code 1009 | nothing             |
      | Authorization: Bearer N-1                               | 401 with code 1009 | nothing             |
      | Authorization: Bearer n-1 / Authorization: Bearer s-1   | 401 with code 1009 | nothing             |
      | Authorization: Bearer n-1 / authorization: Bearer n-1   | 401 with code 1009 | nothing             |

  Scenario Outline: A caller names a workspace itself: <headers>
    Given a direct entry that serves workspaces
    When a caller sends the headers "Authorization: Bearer n-1 / <headers>"
    Then the caller gets its answer
    And the target has seen workspace north

    Examples:
      | headers                                        |
      | X-Workspace: south                             |
      | x-WORKSPACE: south                             |
      | X-Workspace: south / X-Workspace: south        |
      | X-Workspace: south / Connection: x-workspace   |
      | Connection: authorization, x-workspace         |

  Scenario: A chunked body's trailer names a workspace and a key
    Given a direct entry that serves workspaces
    When a caller sends a chunked body with the trailer "X-Workspace: south / Authorization: Bearer s-1"
    Then the caller gets its answer
    And the target has seen workspace north

  Scenario: Requests of two workspaces come on one connection
    Given a direct entry that serves workspaces
    When a caller sends requests with the keys n-1, s-1, none and n-2 at once on one connection
    Then the answers have the status 200, 200, 401 and 200
    And the target has seen the workspaces north, south and north

  Scenario Outline: A public route needs no key
    Given a direct entry that serves workspaces, with public routes
    When a caller sends the headers "<headers>"
    Then the caller gets its answer
    And the target has seen <seen>

    Examples:
      | headers                                        | seen            |
      | X-Other: 1                                     | no workspace    |
      | X-Workspace: south                             | no workspace    |
      | Authorization: Bearer unknown                  | no workspace    |
      | Authorization: Bearer s-1 / X-Workspace: north | workspace south |

  Scenario Outline: A new version changes who holds a key, on open connections too
    Given a direct entry that serves workspaces
    And a caller whose connection has served a request with the key n-1
    When a version comes in force in which <change>
    And the caller sends a request with the key n-1 on the same connection
    Then the caller gets <answer>

    Examples:
      | change                          | answer             |
      | n-1 is taken away               | 401 with code 1009 |
      | n-1 is moved to south           | its answer         |
      | north is removed                | 401 with code 1009 |
      | there are no workspaces         | its answer         |

  Scenario Outline: An entry that has heard nothing for <age_ms> ms is shown <key>
    Given a direct entry that serves workspaces
    And whose configuration was last confirmed <age_ms> ms ago, with credentials trusted <trusted>
    When a caller sends the headers "Authorization: Bearer <key>"
    Then the caller gets <answer>

    Examples:
      | age_ms | trusted     | key     | answer             |
      | 100    | for ever    | unknown | 401 with code 1009 |
      | 9000   | for ever    | unknown | 503 with code 2013 |
      | 9000   | for ever    | n-1     | its answer         |
      | 100    | for 5000 ms | n-1     | its answer         |
      | 9000   | for 5000 ms | n-1     | 503 with code 2013 |

  Scenario: Any header is read as a naive reading of the standard does
    Then any credential is read as by splitting at blanks

  Scenario: Keys are told to nobody
    Given a direct entry that serves workspaces
    When a caller sends the headers "Authorization: Bearer n-1"
    And a caller sends the headers "Authorization: Bearer never-in-force"
    Then no key stands in the entry's log, metrics, stacks or messages to other entries

  Scenario Outline: Urgency is the workspace's first, and then the route's
    Given workspaces of the priorities <workspaces> and routes of the priorities <routes>
    Then requests are ranked <ranks>, workspace by workspace

    Examples:
      | workspaces | routes | ranks                      |
      | none       | 0 2    | 1 2                        |
      | 0 1        | 0 2    | 1 2 3 4                    |
      | 1 none     | 0 2    | 2 3 1 4                    |
      | 0 1 2 3 4  | 0 1    | 1 1 2 2 3 3 4 4 5 5        |
