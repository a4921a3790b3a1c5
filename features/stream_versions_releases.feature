Feature: No stream goes on at another version, however fast releases and kills follow one another

  # Guards against a version that the store's record lacks, or has dropped, as all entries are killed
  # soon after a release, while versions of earlier releases are still remembered.
  Scenario: Whole services are released three times, and all entries are killed after each release
    When 6 plays of three releases are played, half of them with faults of the writes
    Then no entry takes a version for the only one while callers may take up streams of another
    And no stream goes on at another version, of at least 500 that are taken up in each play
