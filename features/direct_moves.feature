Feature: Streams go on elsewhere when their engine is taken away

  # The retry budget must count both attempts of a moved run that is refused and returns to its source.
  Scenario Outline: An engine that will be gone before its streams end, <case>
    Given a direct entry before an engine that streams slowly and a sound one
    And the engines move runs: <answer>
    When a stream has begun at the first engine, which leaves and will be gone in <gone>
    Then the direct caller gets <result>
    And the first engine began it once, and the second one <second>
    And <left> copies of memory are left at engines
    And <again> repeats are spent

    Examples:
      | case                                | answer                             | gone    | result         | second                             | left | again |
      | it is moved                         | copied                             | 1500 ms | all its events | went on from the first's memory    | 0    | 1     |
      | it is moved, without a length       | copied, from an unframed stream    | 1500 ms | all its events | went on from the first's memory    | 0    | 1     |
      | it ends all, without a length       | no such run, unframed              | 1500 ms | all its events | never saw it                       | 0    | 0     |
      | it ends what it runs                | copied                             | no time | all its events | never saw it                       | 0    | 0     |
      | the run is not known there any more | no such run                        | 1500 ms | all its events | never saw it                       | 0    | 0     |
      | nothing is answered                 | nothing, and the run goes on       | 1500 ms | all its events | never saw it                       | 0    | 0     |
      | it stops, without a length          | stopped, but unanswered, unframed  | 1500 ms | a broken end   | never saw it                       | 0    | 0     |
      | the copy found no room              | the memory stays                   | 1500 ms | all its events | never saw it                       | 0    | 1     |
      | the second engine refuses           | copied, but refused there          | 1500 ms | all its events | refused it                         | 0    | 2     |
      | neither takes it                    | copied, but refused at both        | 1500 ms | a broken end   | refused it                         | 0    | 2     |
      | the caller leaves meanwhile         | copied late, and the caller leaves | 1500 ms | nothing more   | never saw it                       | 0    | 0     |

  Scenario: Without a budget for repeats nothing is moved
    Given a direct entry before an engine that streams slowly and a sound one
    And the engines move runs: copied
    And no repeats are left
    When a stream has begun at the first engine, which leaves and will be gone in 1500 ms
    Then the direct caller gets all its events
    And the first engine began it once, and the second one never saw it

  # Guards against streams that stay at an engine until it is gone, since it was silent as it began to leave.
  Scenario: An engine that leaves and is silent for a moment gives its streams up afterwards
    Given a direct entry before an engine that streams slowly and a sound one
    And the engines move runs: copied
    And the first engine sends an event each 600 ms, and no reports for 2200 ms
    When a stream has begun at the first engine, which leaves and will be gone in 1500 ms
    Then the direct caller gets all its events
    And the first engine began it once, and the second one went on from the first's memory

  # Guards against a moved run that is given up, though no engine has refused it, since none accepted a connection.
  Scenario: A moved run goes on once its engines accept connections again
    Given a direct entry before an engine that streams slowly and a sound one
    And the engines move runs: copied, but neither accepts for a moment
    When a stream has begun at the first engine, which leaves and will be gone in 1500 ms
    Then the direct caller gets all its events

  # Guards against a run that is stopped with too few retries left for it to go on elsewhere.
  Scenario Outline: A resumable stream whose moved run is refused at both engines goes on, <left> repeats left
    Given a direct entry before an engine that streams slowly and a sound one
    And the engines move runs: copied, but refused at both
    And <left> repeats are left
    When a resumable stream has begun at the first engine, which leaves and will be gone in 1500 ms
    Then the direct caller gets all its events

    Examples:
      | left |
      | 4    |
      | 3    |
      | 2    |

  Scenario Outline: The platform's answers to a move
    Given an engine of the platform that answers a move with <status> and <body>
    When a run there is to be stopped and copied
    Then the run <outcome>

    Examples:
      | status | body                        | outcome                          |
      | 200    | {"handle":"h1","created":3} | goes on from h1 at the other     |
      | 503    | {"handle":"h1"}             | goes on from h1 where it was     |
      | 503    | null                        | was not stopped                  |
      | 404    | null                        | was not stopped                  |
      | 409    | null                        | was not stopped                  |
      | 200    | nonsense                    | may have been stopped            |
      | none   | null                        | may have been stopped            |
