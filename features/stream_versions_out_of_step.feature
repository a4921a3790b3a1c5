Feature: Entries that are out of step don't join streams of two versions

  # Guards against streams of a version that go on at another one, at an entry that was cut off, stood
  # still or got all late while a version joined, went or came back.
  Scenario: Entries are out of step, again and again, as versions change
    When 60 plays of entries that are out of step as versions change are played
    Then none takes a version for the only one while streams of another one may be resumed
