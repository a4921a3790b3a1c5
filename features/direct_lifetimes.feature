Feature: A target is its identity and its start, and what others wrote into the store names no target
  Guards against state kept beyond a target's restart, and against unreadable registrations.

  Scenario Outline: What another writer left among the registrations, <entry>
    Given an entry that follows a store with three servers and a configuration
    When <entry> is written among the registrations <where>
    Then the entry knows the three servers and no other, and says once what it couldn't read

    Examples:
      | entry                                     | where          |
      | an empty entry                            | while it runs  |
      | an empty entry                            | before its start |
      | a list instead of an entry                | while it runs  |
      | a number instead of an entry              | before its start |
      | an entry without "service"                | while it runs  |
      | an entry without "address"                | while it runs  |
      | an entry without "state"                  | before its start |
      | an entry without "slots"                  | while it runs  |
      | an entry with "state" as "resting"        | while it runs  |
      | an entry with "state" as 7                | before its start |
      | an entry with "address" as "nowhere"      | while it runs  |
      | an entry with "address" as "10.0.0.1:0"   | while it runs  |
      | an entry with "address" as "10.0.0.1:99999" | while it runs |
      | an entry with "address" as "a.b.c.d:80"   | while it runs  |
      | an entry with "slots" as "many"           | before its start |
      | an entry with "slots" as 2.5              | while it runs  |
      | an entry with "sequence" as null          | while it runs  |
      | an entry with "born" as "today"           | while it runs  |
      | an entry with "born" as 1.5               | before its start |
      | an entry with "models" as 3               | while it runs  |
      | an entry with "models" as [{"name": 4}]   | before its start |
      | an object without a name                  | while it runs  |
      | an object without a name                  | before its start |

  Scenario: A server whose own entry turns unreadable is no target any more
    Given an entry that follows a store with three servers and a configuration
    When the entry of a server is overwritten with a list
    Then the entry knows the two other servers

  Scenario: Whatever stands in an entry, decoding gives a target or says why not
    Then no JSON value as an entry raises anything but a decoding error

  Scenario Outline: A server registers again under its identity, <case>
    Given an entry that follows a store with three servers and a configuration
    And it has learnt that a server is slow, failing, and what prompts it has read
    When the server registers with a start that is <start>
    Then what was learnt of it is <learnt>, and its connections are <connections>

    Examples:
      | case                       | start     | learnt    | connections |
      | it has started again       | later     | forgotten | closed      |
      | it says the same as before | the same  | kept      | kept        |
      | a late word of before      | earlier   | kept      | kept        |
