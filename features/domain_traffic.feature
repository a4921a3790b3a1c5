Feature: Traffic between failure domains is counted by purpose

  # Guards against counting what stays inside the domain, or has no known place.
  Scenario: An answer from another domain is counted, others are not
    Given an entry in domain a
    When it sends 300 bytes and receives 9000 bytes for an answer of domain b
    And it sends 200 bytes and receives 5000 bytes for an answer of domain a
    And it sends 100 bytes and receives 4000 bytes for an answer of an unknown domain
    Then the metrics show 300 bytes of requests sent and 9000 bytes of answers received
