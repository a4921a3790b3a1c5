Feature: Models are loaded where they are soonest there and least is lost
  Engines have room for three models. A load takes 9 s from the weight store and 2 s from disk.

  Scenario Outline: One decision
    Given the engines <engines>
    And the demand <demand>
    When the next load is decided, <rate>
    Then the load is <decision>

    Examples:
      | engines                                      | demand                   | rate                | decision             |
      | x: a b c; y: d e f                           | nothing                  | the store is free   | none                 |
      | x: a b c; y: d e f                           | g waits 1                | the store is free   | g on x or y          |
      | x: a b c; y: d e f disk g                    | g waits 1                | the store is free   | g on y               |
      | x: a b c; y: d e f disk g free in 500 ms     | g waits 1                | the store is free   | none                 |
      | x: a b c; u: a b c; v: a b c; w: a b c; z: a b c; y: d e f disk g free in 60000 ms | g waits 1 | the store is free | g on x or u or v or w or z |
      | x: a b c; y: d e f                           | g waits 1                | the store is not    | none                 |
      | x: a b c; y: d e f disk g                    | g waits 1                | the store is not    | g on y               |
      | x: a b c; y: d e f disk g                    | g waits 1, d e f 9000    | the store is free   | g on y               |
      | x: a b c just came; y: d e f just came       | g waits 1                | the store is free   | none                 |
      | x: a b c; y: d e f leaving                   | g waits 1                | the store is free   | g on x               |
      | x: a b c; y: d e f leaving                   | d waits 1                | the store is free   | d on x               |
      | x: a b c; y: d e f leaving; z: g h disk d    | d waits 1                | the store is free   | d on z               |
      | x: a b c limited; y: d e f                   | a waits 1                | the store is free   | a on y               |
      | x: a b c limited; y: a d e                   | a waits 1                | the store is free   | none                 |
      | x: a b c limited; y: d e f                   | g waits 1                | the store is free   | g on y               |
      | x: a b c limited; y: d e f                   | a 4000                   | the store is free   | none                 |
      | x: a b c; y: d e f; z: loads g               | g waits 4                | the store is free   | none                 |
      | x: a b c; y: d e f disk a                    | a 20000                  | the store is free   | a on y               |
      | x: a b c; y: d e f                           | a 4000                   | the store is free   | none                 |
      | x: a b c; y: d e f disk a                    | a d e f 20000            | the store is free   | none                 |
      | x: a b c; y: d e f disk a g                | a 30000, g waits 1       | the store is free   | a on y               |
      | x: a b c; y: d e f disk a g                | a 30000, g waits 60      | the store is free   | g on y               |
      | x: a b c; y: d e f disk a g                | a 7000, g waits 1        | the store is free   | g on y               |
      | x: a b c; y: unknown models u v w            | g waits 1                | the store is free   | g on x or y          |
      | x: a b c; z: disk e f                        | a 30000, e waits 2       | the store is free   | e on z               |
      | x: a b c; z: disk e f                        | a 30000                  | the store is free   | a on z               |
      | x: a b c; y: d e f; z: disk e f              | a 30000, e f 900         | the store is free   | a on z               |

  Scenario Outline: What an unloaded model leaves in memory may push out the copy that is needed
    Given an engine that has <copies> in memory, and <disk> on its disk
    When "g" is to be loaded after <victims> have been unloaded
    Then its weights are expected from <source>

    Examples:
      | copies | disk    | victims | source           |
      | g      | nothing | a       | memory           |
      | g h    | g       | nothing | memory           |
      | g h    | g       | a       | disk             |
      | g h    | nothing | a       | the weight store |
      | g a    | g       | a       | memory           |
      | h      | g       | a       | disk             |

  Scenario Outline: What can't wait for a load keeps a replica, <case>
    Given the engines x: a b c disk a b c g h
    And each model's requests allow <objective> ms to the first event
    And the demand <demand>
    When the next load is decided, the store is free
    Then "<model>" makes room

    Examples:
      | case                             | objective      | demand                    | model |
      | nobody asks for it now           | a 800, b 5000  | g waits 1, b 300, c 400   | b     |
      | it can wait                      | a 5000         | g waits 1, b 300, c 400   | a     |
      | what is asked of it is not known | a 0, b 5000    | g waits 1, b 300, c 400   | b     |
      | others are asked for more        | a 800          | g waits 1, b 3000, c 4000 | a     |
      | a load from disk takes longer    | a 2300, b 5000 | g waits 1, b 300, c 400   | b     |

  Scenario Outline: What is asked for again and again keeps its place before what nobody asks for, <case>
    Given the engines <engines>
    And each model's requests allow <objective> ms to the first event
    And the demand g waits 1
    And over a longer time <slow> tokens a second are asked for
    When the next load is decided, the store is free
    Then "<model>" makes room

    Examples:
      | case                     | engines                       | objective            | slow                | model |
      | it could wait for a load | x: a b c disk a b c g h       | a 0, b 5000, c 5000  | b 860, c 900        | a     |
      | it could not wait        | x: a b c disk a b c g h       | a 0, b 800, c 5000   | b 860, c 900        | a     |

  Scenario: Whatever is decided fits
    Then no decision from any state orders more than an engine has room for

  Scenario Outline: The search that leaves engines out decides like the full one, <fleet>
    Then <examples> random states of <engines> engines and <models> models lead to the same decisions

    Examples:
      | fleet                          | examples | engines | models |
      | few engines                    | 400      | 4       | 8      |
      | more models than places        | 150      | 12      | 40     |

  Scenario Outline: A pass that can't begin anything tries no engine, <why>
    Given 365 engines of 1500 models, <why>
    When loads are decided
    Then nothing is begun and at most <tries> engines were tried for a model

    Examples:
      | why                       | tries |
      | none of them free         | 0     |
      | nobody asks for anything  | 0     |
      | all models crowded alike  | 1500  |

  Scenario: What waits longest is not overtaken for ever
    Given the engines x: a b c disk g h free in 300 ms
    And g has waited for 4000 ms and h for 100 ms, h with more requests
    When the engine is free
    Then g is loaded first

  Scenario Outline: Models without a copy are loaded once before a site's first callers
    Given the engines <engines>
    And the demand <demand>
    When a load for a copy is decided <when>
    Then the load is <decision>

    Examples:
      | engines                                           | demand  | when                                 | decision |
      | x: a b c disk a b c d e f g                        | nothing | before anybody asked                 | none     |
      | x: a b c disk c d e f g                            | nothing | before anybody asked                 | h on x   |
      | x: a b c disk c d e f g                            | nothing | after requests have come             | none     |
      | x: a b c disk c d e f g                            | nothing | before anybody asked, h tried before | none     |
      | x: a disk a b c d e f g                            | nothing | before anybody asked                 | none     |
      | x: a b c disk a b c d e f; y: a b d disk a b d e f g | nothing | before anybody asked               | h on x or y |
      | x: a b c disk a b c e f g; y: a b d disk a b d f g c | nothing | before anybody asked               | h on y   |
      | x: a b c disk a b d e f g; y: a b c disk a b d e f g free in 9000 ms | nothing | before anybody asked | h on x |
      | x: a b c disk a b d e f g free in 9000 ms; y: a b c disk a b d e f g | nothing | before anybody asked | h on y |

  Scenario Outline: An unload waits for its runs, and that counts beside the load
    Given the engines <engines>
    And streams last 2000 ms
    And requests run: <running>
    And the demand g waits 1, a b c d e f 400
    When the next load is decided, the store is free
    Then the load is <decision>, and the unload before it is foreseen to wait <wait> ms

    Examples:
      | engines                                                  | running      | decision | wait |
      | x: a b c disk g; y: d e f disk g                         | x 1, y 0     | g on y   | 0    |
      | x: a b c disk g; y: d e f disk g                         | x 0, y 1     | g on x   | 0    |
      | x: a b c; y: d e f disk g                                | x 0, y 2     | g on y   | 3000 |
      | x: a b c disk g; y: d e f disk g                         | x 3, y 1     | g on y   | 2000 |
