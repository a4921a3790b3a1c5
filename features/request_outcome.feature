Feature: What is known of a request's runs

  # Guards against a run that is forgotten: a promise, a refund and a further run depend on it.
  Scenario Outline: Sends and proofs, <what>
    Given a request that is sent and ends as <runs>
    Then it <may> have run, and <count> runs of it count

    Examples:
      | what                                             | runs                               | may     | count |
      | nothing was sent                                 | nothing                            | can't   | 0     |
      | a target proves that it didn't run it            | not_run                            | can't   | 0     |
      | several do                                       | not_run not_run not_run            | can't   | 0     |
      | nothing has come                                 | open                               | may     | 1     |
      | one is proved, one is not                        | open not_run                       | may     | 1     |
      | the proof comes before                           | not_run broken                     | may     | 1     |
      | an error was answered                            | answered                           | may     | 1     |
      | two broke                                        | broken broken                      | may     | 2     |
      | a moved run goes on                              | moved continued:open               | may     | 1     |
      | its destination proves that it didn't go on      | moved continued:not_run            | may     | 1     |
      | and its source too                               | moved continued:not_run continued:not_run | may | 1  |
      | it breaks, and runs again                        | moved continued:broken answered    | may     | 2     |
