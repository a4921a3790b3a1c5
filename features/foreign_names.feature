Feature: What another writer names its registration neither hides targets nor fails requests

  # Guards against requests that are answered 500, unsent, since the chosen target's name can't be a header's value.
  Scenario: A registration's name holds a line's end
    Given a direct entry before a sound target that is registered once more as "i-2\r\nX-Other: 1"
    When callers send it 40 requests
    Then none is answered 500

  # Guards against a list that ends at a page of which no object can be read.
  Scenario: No object of a page can be read
    Given a store whose first page of registrations holds only objects without a readable name
    When the registrations are read from it
    Then the sound targets of the second page are listed

  # Guards against a list that can't be read on from a name that isn't fit for a query.
  Scenario Outline: A page ends with a registration named <name>
    Given a store whose first page of registrations ends with the name "<name>"
    When the registrations are read from it
    Then the sound targets of the second page are listed

    Examples:
      | name      |
      | a b       |
      | a&watch=1 |

  # Guards against calls without end of a store whose list doesn't go on after a name.
  Scenario: A list comes back to its first page
    Given a store that answers each list with its first page
    When the registrations are read from it
    Then the list ends with an error that names the store
