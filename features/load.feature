Feature: The load command classifies the outcome of each request
  Guards against wrong, cut, late or doubled answers being counted as served.

  Scenario Outline: <case>
    Given a request whose right answers are "a-0 a-1 " and "b-0 b-1 ", due within 1000 ms
    When its caller saw status <status>, text "<text>", whole <whole>, broken <broken> at <end> ms
    And its error was code <code> with outcome "<outcome>", and it ran <runs> times, keyed <keyed>
    Then it is classed as "<class>"

    Examples: Answers
      | case                                | status | text     | whole | broken | end  | code | outcome | runs | keyed | class   |
      | right and in time                   | 200    | a-0 a-1  | yes   | no     | 1000 | 0    |         | 1    | no    | served  |
      | right by another version            | 200    | b-0 b-1  | yes   | no     | 10   | 0    |         | 1    | no    | served  |
      | right but late                      | 200    | a-0 a-1  | yes   | no     | 1001 | 0    |         | 1    | no    | late    |
      | another request's answer            | 200    | c-0 c-1  | yes   | no     | 10   | 0    |         | 1    | no    | wrong   |
      | two versions mixed                  | 200    | a-0 b-1  | yes   | no     | 10   | 0    |         | 1    | no    | wrong   |
      | a part, called whole                | 200    | a-0      | yes   | no     | 10   | 0    |         | 1    | no    | wrong   |
      | no mark of the end                  | 200    | a-0      | no    | no     | 10   | 0    |         | 1    | no    | cut     |
      | all text, no mark of the end        | 200    | a-0 a-1  | no    | no     | 10   | 0    |         | 1    | no    | cut     |
      | broken connection                   | 200    | a-0      | no    | yes    | 10   | 0    |         | 1    | no    | cut     |
      | an error after the start            | 200    | a-0      | yes   | no     | 10   | 3002 | unknown | 1    | no    | cut     |
      | an idempotent one that ran twice    | 200    | a-0 a-1  | yes   | no     | 10   | 0    |         | 2    | no    | served  |
      | a keyed one that ran twice          | 200    | a-0 a-1  | yes   | no     | 10   | 0    |         | 2    | yes   | doubled |

    Examples: No answers
      | case                                | status | text | whole | broken | end | code | outcome | runs | keyed | class              |
      | never answered                      | 0      |      | no    | yes    | 10  | 0    |         | 0    | no    | lost               |
      | an error page that says nothing     | 500    |      | yes   | no     | 10  | 0    |         | 0    | no    | lost               |
      | refused and not run                 | 503    |      | yes   | no     | 10  | 2001 | not_run | 0    | no    | refused            |
      | refused as not run, but ran         | 503    |      | yes   | no     | 10  | 2001 | not_run | 1    | no    | ran-though-refused |
      | outcome unknown, said so            | 502    |      | yes   | no     | 10  | 3001 | unknown | 1    | yes   | failed             |
      | outcome unknown, ran twice          | 502    |      | yes   | no     | 10  | 3001 | unknown | 2    | yes   | doubled            |
