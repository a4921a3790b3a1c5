Feature: What another writer puts into the store neither ends nor blinds an entry

  # Guards against a registration that changes its service, whose removal then ended every entry.
  Scenario: Registrations change in any field, go and come back
    When 400 generated sequences of registrations and removals are applied to a view of the fleet
    Then after each step the view holds just what was registered, each target under its service

  # Guards against one unreadable registration that hides all others.
  Scenario: Registrations that can't be read stand beside sound ones
    When 400 generated lists of registrations, sound and foreign ones, are read from the store
    Then each list names the sound targets, unchanged, and no foreign one
    And each registration that was read can be told to other entries

  # Guards against an event of a registration that can't be read, after which none is seen.
  Scenario: A change that can't be read comes between sound ones
    When 400 generated lists of changes, sound and foreign ones, are read from the store
    Then each list names the sound targets, unchanged, and no foreign one

  # Guards against a log that grows at each reading of the same unreadable registrations.
  Scenario Outline: Unreadable registrations are read again and again, each with <what>
    Given a store with 2000 registrations that each have <what>, and one sound one
    When the registrations are read from it 3 times, one changes in between
    Then each unreadable one is logged once for each change, in lines of at most 1200 bytes
    And the sound one is read each time

    Examples:
      | what                 |
      | a field out of range |
      | a long name          |
