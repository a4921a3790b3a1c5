Feature: Traffic between failure domains is counted by purpose

  # Guards against counting what stays inside the domain, or has no known place.
  Scenario: An answer from another domain is counted, others are not
    Given an entry in domain a
    When it sends 300 bytes and receives 9000 bytes for an answer of domain b
    And it sends 200 bytes and receives 5000 bytes for an answer of domain a
    And it sends 100 bytes and receives 4000 bytes for an answer of an unknown domain
    Then the metrics show 300 bytes of requests sent and 9000 bytes of answers received

  # Guards against reports that repeat the ready times of all loads: they were 4 in 10 bytes of them.
  Scenario: Ready times are sent again only when they differ from what entries count down to
    Given a load that is expected to end in 3000 ms
    When reports are made every 50 ms for 1000 ms
    Then one of them holds the load's time, and the others tell that it holds
    And a report to a new entry after it holds the load's time
    And once the load is expected 500 ms later, the next report holds its time
