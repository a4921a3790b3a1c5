Feature: An older version is not served again once a newer one is ready
  Guards against routing to an older version because of late reports or placement records.

  Scenario Outline: The newest version that is ready is asked for: <case>
    Given version 3 of "notes" is in force
    And target "a" said "<a said>" over a connection that is <a link>
    And target "b" said "<b said>" over a connection that is open
    And the placement record of "notes" tells "<record>"
    Then an entry asks "<asked>"

    Examples:
      | case                             | a said            | a link | b said  | record                       | asked            |
      | two old ones, the second newer   | notes@1           | open   | notes@2 | a 1 ready, b 2 ready         | b notes@2        |
      | two old ones, the first newer    | notes@2           | open   | notes@1 | b 1 ready, a 2 ready         | a notes@2        |
      | the older one leaves             | notes@1           | open   | notes@2 | b 2 ready, a 1 leaving       | b notes@2        |
      | both old ones on one target      | notes@1 notes@2   | open   | x@1     | a 1 leaving, a 2 ready       | a notes@2        |
      | ready since the connection ended | notes@1           | lost   | notes@1 | b 1 ready, a 3 ready         | a notes@3        |
      | lost again, says the target      | notes@1           | open   | x@1     | a 1 leaving, a 3 ready       | a notes@1        |
      | only loading there               | notes@1           | lost   | x@1     | a 1 ready, a 3 load          | a notes@1        |
      | nothing said yet                 | nothing           | lost   | notes@2 | b 2 ready, a 3 ready         | a notes@3        |
      | the same old one twice           | notes@2           | open   | notes@2 | a 2 ready, b 2 ready         | a notes@2, b notes@2 |
      | no record read yet               | notes@2           | open   | x@1     | nothing                      | a notes@2        |
