Feature: What requests are granted is spent or given back once

  # Guards against a permit that outlives its limit, as the limit changes while the permit's request waits for a connection.
  Scenario: Requests end as they get permits and connections, on an event loop that stalls
    When 300 plays of requests that end as they get permits and connections are played from seed 1 on
    Then each permit, quota, share, retry and connection is spent or given back once, under its limit
    And permits of limits were used and given back, and retries were spent
