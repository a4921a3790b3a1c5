Feature: What a target says of itself in its answers holds for all that is sent to it

  # Guards against a target that says in its answers that it leaves, and gets requests until the store says so.
  Scenario Outline: A leaving target gets no request from an entry that was told, <fleet>, <entries> entries
    Given <entries> entry processes that send to <fleet>
    When requests come <per_s> a second for 6 s, and after 2 s one target says in its answers that it leaves
    Then it gets nothing from an entry later than 100 ms after it has told that entry
    And it gets nothing from any entry later than 500 ms after it has told the first one
    And all requests are served

    Examples:
      | fleet          | entries | per_s |
      | three engines  | 4       | 40    |
      | three services | 4       | 40    |
      | three services | 24      | 60    |

  Scenario Outline: Nothing is sent to targets that have all said that they leave, <fleet>
    Given 4 entry processes that send to <fleet>
    When requests come 40 a second for 6 s, and after 2 s all targets say in their answers that they leave
    Then each gets nothing from an entry later than 100 ms after it has told that entry
    And what isn't served is rejected within 0.3 s, with Retry-After

    Examples:
      | fleet           |
      | the only engine |
      | three services  |
