Feature: A target that turns an entry away and asks for rest is left alone by it

  # Guards against refusals that ask for rest and are answered with more requests.
  Scenario Outline: A target that turns requests away and asks for rest gets none meanwhile, <fleet>, <rest> s
    Given <entries> entry processes that send to <fleet>
    When requests come <per_s> a second for 8 s, and after 2 s one target turns requests away and asks for <rest> s of rest
    Then it gets at most 1 request from an entry between 100 ms after a refusal and the end of its rest
    And all requests are served

    Examples:
      | fleet          | entries | rest | per_s |
      | three engines  | 4       | 3    | 40    |
      | three engines  | 4       | 0.7  | 40    |
      | three services | 4       | 3    | 40    |

  # A retry of each entry is more than the budget of retries holds just after the entries' start.
  Scenario: A target asks 24 entries for rest, each of which learns of it by a refusal
    Given 24 entry processes that send to three services
    When requests come 60 a second for 8 s, and after 2 s one target turns requests away and asks for 30 s of rest
    Then it gets at most 1 request from an entry between 100 ms after a refusal and the end of its rest
    And at most 1 request of each entry is rejected
    And what isn't served is rejected within 0.3 s, with Retry-After

  Scenario Outline: All targets turn requests away and ask for rest, <fleet>
    Given 4 entry processes that send to <fleet>
    When requests come 40 a second for 8 s, and after 2 s all targets turn requests away and ask for <rest> s of rest
    Then each gets at most 1 request from an entry between 100 ms after a refusal and the end of its rest
    And what isn't served is rejected within 0.3 s, with Retry-After

    Examples:
      | fleet           | rest |
      | the only engine | 30   |
      | three services  | 30   |

  Scenario: Targets are used again after their rest
    Given 4 entry processes that send to three services
    When requests come 40 a second for 8 s, and from 2 s to 3 s all targets turn requests away and ask for 1 s of rest
    Then each gets at most 1 request from an entry between 100 ms after a refusal and the end of its rest
    And all requests of the last 3 s are served
