Feature: An entry that gets the store's answers late knows how old they are

  # Guards against streams of a new version that go on at the old one, at an entry whose last list of
  # targets was under way for longer than it takes the other entries to use the version.
  Scenario Outline: While answers are late no entry takes the old version for the only one, <role>
    When <count> plays of a version that joins are played, as an entry that <role> gets answers late
    Then none takes the old version for the only one once a stream has begun at the new one

    Examples:
      | count | role             |
      | 150   | coordinates      |
      | 150   | reads for itself |
