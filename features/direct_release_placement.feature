Feature: Streams go on at their version during a release
  Each engine has room for three models. Half of the models are in use, each held by one engine. Some engines leave, others
  of a new version take their place, and the streams at those that leave are broken off.

  # Guards against copies of models at the new version only, as their holders of the old one leave.
  Scenario Outline: Some engines of a service are released
    When <released> of <engines> engines are released
    Then at least <share> in 100 streams that are taken up go on, and 90 in 100 new ones begin

    Examples:
      | engines | released | share |
      | 8       | 4        | 95    |
      | 8       | 2        | 95    |
      | 24      | 12       | 95    |

  # Guards against a last copy that is unloaded, or a next one that is loaded elsewhere, while its version's streams live.
  Scenario Outline: A decision by the versions of streams, <what>
    Given the engines <engines>
    And engine x runs v1 and engine z v2, and streams of <streams> may be taken up
    And the demand <demand>
    When the next load is decided, the store is free
    Then the load is <decision>

    Examples:
      | what                                 | engines                         | streams      | demand         | decision |
      | the last copy at v1 stays            | x: a b c; z: a d e              | a v1 3       | g waits 1      | g on z   |
      | the last copy at v2 stays            | x: a b c; z: a d e              | a v2 3       | g waits 1      | g on x   |
      | the copy with the most streams stays | x: a b c; z: a d e              | a v1 1, a v2 3 | b c d e 7500, g waits 1 | g on x |
      | a copy at v1 is missing              | x: b c disk a; z: a d e         | a v1 3       | nothing        | a on x   |
      | it isn't worth what it unloads       | x: b c d disk a; z: a e f       | a v1 1       | b c d 20000    | none     |
      | the first copy, streams at v1        | x: b c disk a; z: d e disk a    | a v1 2       | a waits 1      | a on x   |
      | the first copy, streams at v2        | x: b c disk a; z: d e disk a    | a v2 2       | a waits 1      | a on z   |
      | the most streams go first            | x: b c; z: e f                  | a v1 2, d v1 5 | nothing      | d on x   |
      | nothing at v1 stays                  | x: a b c leaving; z: d e        | a v1 3       | nothing        | none     |
      | the model's requests go elsewhere    | x: a b c leaving; z: d e        | a v1 3       | a waits 1      | a on z   |

  # Guards against callers that use up their retries while the copy that they need is being loaded.
  Scenario Outline: A stream waits for a load at its version, or its caller is told when that ends, <load>
    Given an entry that knows engines of v1 and v2, where only v2 holds the model, and of <load>
    When a stream that began at v1 is taken up there
    Then it <outcome>

    Examples:
      | load                         | outcome                                  |
      | a load at v1 for 500 ms      | waits for 500 ms                         |
      | a load at v1 for 3000 ms     | is rejected for 3000 to 3750 ms          |
      | a load at v2 for 3000 ms     | is rejected for 500 to 625 ms            |
      | a load at v1 that ended      | waits for 0 ms                           |
