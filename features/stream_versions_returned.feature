Feature: A version that went and came back unseen is new to an entry

  # Guards against streams of a version that go on at another one: an entry that was out of touch as the
  # version went and came back uses it at once, while others have a current list without it.
  Scenario Outline: A version is away for <away> ms while an entry is out of touch
    Given two entries that have long known v1 and v2, which the record names
    When v2 goes and comes back <away> ms later, and the first one reads no list meanwhile
    Then the first one begins no stream at v2 while the other takes v1 for the only version

    Examples:
      | away  |
      | 5000  |
      | 13000 |
      | 15000 |
      | 20000 |
