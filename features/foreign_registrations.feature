Feature: What another writer puts into the store neither ends nor blinds an entry

  # Guards against a registration that changes its service, whose removal then ended every entry.
  Scenario: Registrations change in any field, go and come back
    When 400 generated sequences of registrations and removals are applied to a view of the fleet
    Then after each step the view holds just what was registered, each target under its service
