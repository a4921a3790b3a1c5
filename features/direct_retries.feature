Feature: What fails again and again is tried at a pace that a whole fleet can afford
  Guards against retry storms: hundreds of entries would exceed the store's call limits and fill the logs.

  Scenario Outline: An entry's calls to a store whose <calls> <behave>
    Given an entry in virtual time, beside a store whose <calls> <behave>
    When 10 s pass
    Then it made at most <most> calls to the store and wrote at most <lines> log lines
    And it made at least <least> calls

    Examples:
      | calls               | behave                  | most | least | lines |
      | calls               | are refused at once     | 80   | 20    | 10    |
      | calls               | are never answered      | 60   | 10    | 10    |
      | calls               | fail every other time   | 120  | 20    | 40    |
      | watches             | are refused at once     | 80   | 20    | 10    |
      | watches             | find no history         | 80   | 20    | 10    |
      | watches             | return at once          | 130  | 20    | 10    |
      | writes of the lease | conflict                | 80   | 10    | 10    |

  Scenario: Targets that lapsed are taken as gone although watches go on failing
    Given an entry in virtual time, beside a store whose watches are refused at once
    When a target's registration is gone from the store and 5 s pass
    Then the entry takes the target as gone

  Scenario: What left while the store was away is known in time, whenever the store came back
    Given an entry in virtual time, beside a store whose calls are refused at once
    Then of 60 targets that leave 300 ms after its return and are gone 1400 ms later, none is used 2950 ms after the return
