Feature: Sound targets that accept no connections for a time cost no answer
  Each silence has an engine service and a plain service of its own, and all requests come while it lasts.

  # Guards against targets that are taken as gone since they accept no connections for a second.
  Scenario: Targets accept no connections while they are silent
    Given sites at once whose silent targets accept no connections
      | entries | silent | holders | times | silent for       | beside |
      | 1       | 1 of 2 | 2       | 1     | 0.5, 1.5, 2, 3   | idle   |
      | 1       | 1 of 2 | 1       | 1     | 0.2, 1, 1.5, 2   | SIGHUP |
      | 1       | 3 of 3 | 3       | 1     | 0.5, 1, 1.5, 2   | tenant |
    When requests come and targets fall silent at each site
    Then each request of a site has its whole answer, within its runs and retries
