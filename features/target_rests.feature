Feature: What a refusal asks for is read, and kept to until it ends

  Scenario Outline: A refusal asks for <values>
    Given a refusal with status <status> that asks for <values>
    Then the target is left alone for <ms> ms

    Examples:
      | status | values         | ms       |
      | 503    | nothing        | 0        |
      | 503    | 3              | 3000     |
      | 503    | 0.3            | 300      |
      | 503    | 0              | 0        |
      | 503    | 86400          | 86400000 |
      | 503    | 1 and 3        | 3000     |
      | 503    | -1             | 0        |
      | 503    | soon           | 0        |
      | 503    | inf            | 0        |
      | 503    | Fri, 4 Dec     | 0        |
      | 429    | 2              | 2000     |
      | 500    | 2              | 0        |
      | 200    | 2              | 0        |

  # Guards against a shorter rest that ends a longer one, and against a rush at the end of one.
  Scenario: In any order of refusals, answers and sends nothing is sent in a rest, and one request first after it
    Then in any play a target gets nothing in a rest, and one request until it has answered or 300 ms have passed

  # Guards against a rejection for one target's rest while another one refused only this request, for a moment.
  Scenario Outline: One target rests, another one has just refused the request, <service>
    Given an entry with two targets of <service>, one of which rests for 30 s
    When a request is chosen a target 100 ms after the other one has refused it
    Then it is sent to the other one

    Examples:
      | service       |
      | engines       |
      | plain service |
