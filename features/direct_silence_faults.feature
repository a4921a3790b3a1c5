Feature: Sound targets that fall silent cost no answer, whatever changes beside it
  Each silence has an engine service and a plain service of its own, and requests at each stage when it begins; "early" streams came by what is changed then: routes, weights and a tenant.

  # Guards against answers that are given up, or lost without a word, as a change meets silent targets.
  Scenario: Engines and services fall silent beside changes of the configuration
    Given sites at once
      | entries | silent | holders | times | silent for  | beside  |
      | 1       | 1 of 2 | 2       | 1     | 0.2, 1.5, 3 | timeout |
      | 1       | 1 of 2 | 2       | 2     | 0.5, 1.5    | weights |
      | 1       | 2 of 6 | 6       | 1     | 1, 2        | route   |
      | 1       | 3 of 3 | 3       | 1     | 0.5, 1.5, 3 | tenant  |
      | 1       | 1 of 2 | 1       | 1     | 1, 1.5, 2   | idle    |
    When requests come and targets fall silent at each site
    Then each request of a site has its whole answer, within its runs and retries

  # Guards against answers that a reload or a stop ends while their targets are silent, and against
  # streams that stay with a target which is gone.
  Scenario: Engines and services fall silent beside signals, or for ever
    Given sites at once
      | entries | silent | holders | times | silent for  | beside           |
      | 1       | 1 of 2 | 2       | 2     | 0.5, 1.5    | SIGHUP           |
      | 1       | 1 of 2 | 2       | 1     | 0.2, 1.5, 2 | SIGTERM          |
      | 1       | 2 of 2 | 2       | 1     | 1, 2        | weights, SIGTERM |
      | 1       | 1 of 3 | 3       | 1     | ever        | nothing          |
      | 1       | 1 of 3 | 3       | 1     | ever        | route, tenant    |
    When requests come and targets fall silent at each site
    Then each request of a site has its whole answer, within its runs and retries

  # Guards against entries that each judge a silence by what they see of it alone.
  Scenario: Targets of many entries fall silent beside all changes
    Given sites at once
      | entries | silent | holders | times | silent for   | beside                                                 |
      | 24      | 1 of 3 | 3       | 1     | 1.5, 3, ever | timeout, SIGHUP, weights, tenant, idle, route, SIGTERM |
    When requests come and targets fall silent at each site
    Then each request of a site has its whole answer, within its runs and retries
