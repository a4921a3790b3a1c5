Feature: An entry that follows a coordinator has the list of targets of a revision of the store

  # Guards against a list that lacks a target, or holds one that has gone, and counts as confirmed: an
  # update that the entry hadn't used, since its own reading was newer, was missing in the next ones.
  Scenario: Updates and the entry's own readings come in any order
    When 200 plays of an entry that also reads the store itself are played
    Then its list is always the store's at the revision that it claims
    And it is confirmed only while it is current

  # Guards against a list that goes back to what it was: an answer of the store that was overtaken by
  # the coordinator's updates replaced the newer list, which kept the newer revision.
  Scenario: Updates come while the entry waits for the store
    When 200 plays of an entry that also reads the store itself are played, which takes up to 0.5 s
    Then its list is always the store's at the revision that it claims
    And it is confirmed only while it is current

  # Guards against callers that get 503 after the store's return, as targets that live were dropped.
  Scenario: The coordinator started again while registrations lapsed
    Given an entry that keeps a target whose registration lapsed while the store was away
    When its coordinator, started again while the store was away, sends its list
    Then the entry still knows the target, which may register again
