Feature: Sound targets that accept no connections for a time cost no answer
  All requests come while the targets are silent.

  # Guards against a cooldown that grows with the requests that one silence meets.
  Scenario Outline: The only engine is used again soon after it accepted nothing, <count> streams
    Given an entry whose only engine accepts no connections for 1 s
    When <count> streams come at once
    Then each stream is served

    Examples:
      | count |
      | 1     |
      | 2     |
      | 6     |

  # Guards against refusals of requests whose model's only holder is out of reach for a moment, and against requests that
  # wait for an engine that has ended.
  Scenario Outline: A request for a model waits while its only holder may return, <holder>
    Given an entry whose coordinator finds the model's only holder <holder>
    When a stream of the model comes, and the holder is there again after 1 s
    Then it is answered <status>

    Examples:
      | holder                 | status |
      | to accept nothing      | 200    |
      | to accept nothing, 4 s | 503    |
      | to have ended          | 503    |

  # Guards against targets that are taken as gone since they accept no connections for a second.
  Scenario: Targets accept no connections while they are silent
    Given sites at once whose silent targets accept no connections
      | entries | silent | holders | times | silent for       | beside |
      | 1       | 1 of 2 | 2       | 1     | 0.5, 1.5, 2, 3   | idle   |
      | 1       | 1 of 2 | 1       | 1     | 0.2, 1, 1.5, 2   | SIGHUP |
      | 1       | 3 of 3 | 3       | 1     | 0.5, 1, 1.5, 2   | tenant |
    When requests come and targets fall silent at each site
    Then each request of a site has its whole answer, within its runs and retries
