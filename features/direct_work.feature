Feature: Entries know how much work waits at each target, and how long it takes

  Scenario Outline: What an entry is told of the others' work
    Given entry A has <a>, and entry B has <b>
    When the coordinator tells entry A of the others' work
    Then it hears of <told>

    Examples:
      | a                       | b                       | told                                    |
      | nothing                 | nothing                 | x: 0, plain: 0                          |
      | x: 2 with 900 unread    | nothing                 | x: 0, plain: 0                          |
      | nothing                 | plain: 3 with 0 unread  | x: 0, plain: 3                          |
      | x: 2 with 900 unread    | x: 1 with 400 unread    | x: 1 with 400 unread, plain: 0          |
      | plain: 1 with 0 unread  | x: 1 with 400 unread    | x: 1 with 400 unread, plain: 0          |

  Scenario Outline: What an entry has begun or ended since its report isn't taken for others' work
    Given reports of <reported> and then <since> by entry A, and of <b> by entry B
    When the coordinator tells entry A of the work that its first report counts in
    Then entry A takes the others' work for <others>

    Examples:
      | reported              | since                | b                     | others                |
      | x: 2 with 900 unread  | nothing              | x: 1 with 400 unread  | x: 1 with 400 unread  |
      | x: 2 with 900 unread  | x: 5 with 90 unread  | nothing               | x: 0                  |
      | nothing               | x: 1 with 400 unread | x: 1 with 400 unread  | x: 1 with 400 unread  |

  Scenario: Whatever is told when, others' work is what the others have reported
    Then any order of reports, sums and new coordinators leaves each entry with the others' reports

  Scenario: What is told is encoded once for all who know the same
    Given a coordinator that 60 entries follow, and one that has just come
    When the work at 40 targets changes
    Then 2 fleet reports are encoded, and each entry gets one

  Scenario: A model that is read faster is learnt, and its queue is taken for shorter
    Given engines that read slow at 20 tokens a ms and fast at 150 tokens a ms
    When 12 requests for each model have been measured, one at a time
    Then prompts of 4000 tokens are predicted within 25 of 100 of what they take
    And behind three prompts for fast a request for slow is expected sooner than behind three for slow

  Scenario: One wrong measurement changes little of what is known
    Given engines that read slow at 20 tokens a ms and fast at 150 tokens a ms
    When 12 requests for each model have been measured, one at a time
    And a request for fast takes 20 times as long as it should
    Then prompts of 4000 tokens are predicted within 60 of 100 of what they take

  Scenario Outline: Entries that each see few requests learn together
    Given <entries> entries and engines that read fast at 150 tokens a ms
    When each entry measures <each> requests for fast, telling the others in turns
    Then every entry predicts a prompt for fast within <percent> of 100 of what it takes

    Examples:
      | entries | each | percent |
      | 1       | 12   | 25      |
      | 4       | 4    | 30      |
      | 30      | 2    | 30      |
      | 30      | 12   | 25      |

  Scenario: An entry that has measured nothing knows what the others know
    Given 4 entries and engines that read fast at 150 tokens a ms
    When all entries but the last measure 8 requests for fast, telling the others in turns
    Then every entry predicts a prompt for fast within 30 of 100 of what it takes

  Scenario Outline: The part of a queue that is really waited for is learnt
    Given engines that read slow at 20 tokens a ms and fast at <fast> tokens a ms
    When 12 requests for each model have been measured, one at a time
    And 60 requests for fast come behind <queued> counted tokens, of which <part> in 100 are left
    Then behind <queued> counted tokens one for fast is predicted within 35 of 100 of what it takes

    Examples:
      | fast | queued | part |
      | 40   | 30000  | 100  |
      | 40   | 30000  | 40   |
      | 20   | 60000  | 20   |
      | 150  | 60000  | 60   |

  Scenario Outline: Engines of any speed are known after a few requests, of models nobody measured too
    Given engines that read slow at <speed> tokens a ms and fast at <speed> tokens a ms
    When 5 requests for each model have been measured, one at a time
    Then a prompt of 4000 tokens for a model that nobody measured is predicted within 30 of 100

    Examples:
      | speed |
      | 5     |
      | 20    |
      | 41    |
      | 120   |
