Feature: A response whose head is cut is no response on the product's own path

  # Guards against the end of a connection inside a head that is taken for the end of the head: a success with an
  # empty body, framed as whole.
  Scenario Outline: No <callee> is taken to have answered if its response ended in its head
    Given a <callee> whose response can be cut anywhere
    Then no call to it whose response is cut is answered, only one whose response is whole

    Examples:
      | callee                       |
      | plain service                |
      | model engine that streams    |
      | model engine without a model |
      | model engine that takes orders |
      | object API                   |
      | object API without an object |
      | stand-in that is asked by the load tool |

  Scenario: A head with a line that is no header is no head
    Given a plain service whose response's head has an invalid line before its length
    Then the call to it fails
