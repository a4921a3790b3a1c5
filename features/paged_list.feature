Feature: A list of the store that has several pages misses no change

  # Guards against a change of the first page, while the second one is read, that no later watch tells:
  # a target that has gone or leaves goes on being used, one of a new version is missing.
  Scenario Outline: A registration <change> while the next page is read
    Given a store with two pages of registrations, of which one of the first page <change>
    When the list is read, which changes between the pages, and then watched from its revision
    Then what was read is what the store holds

    Examples:
      | change |
      | goes   |
      | leaves |
      | joins  |
