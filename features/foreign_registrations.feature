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
