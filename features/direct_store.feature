Feature: An entry knows what the platform's store says, whatever becomes of the store
  Guards against missed or late changes after an outage, and against too many calls to the store.

  Scenario: What the store holds arrives in the entry
    Given an entry that follows a store with three servers and a configuration
    Then it knows the three servers, their models, and the routes of version 4

  Scenario Outline: A change is known in time after the store was away
    Given an entry that follows a store with three servers and a configuration
    When the store is <away> for <ms> ms
    And right after its return version 9 is written and a server starts to leave
    Then within 3000 ms the entry knows version 9 and that the server leaves

    Examples:
      | away                     | ms   |
      | silent                   | 2500 |
      | silent                   | 400  |
      | answering 503            | 1500 |
      | answering 429            | 1500 |
      | forgetting its history   | 100  |

  Scenario Outline: Calls to the store keep to a pace while servers register anew all the time
    Given an entry that follows a store with three servers and a configuration
    And the entry <duty>
    When servers register anew 20 times a second for 3000 ms
    Then the entry made at most <most> calls
    And within 1500 ms the entry knows that a server leaves which does so now

    Examples:
      | duty                   | most |
      | follows nobody         | 7    |
      | coordinates the others | 18   |

  Scenario Outline: The coordinator reads the store for the others, <entries> entries
    Given <entries> entries of a site that follow a store with three servers
    When servers register anew 20 times a second for 3000 ms
    Then all entries together made at most <most> calls
    And within 1500 ms all entries know that a server leaves which does so now
    And within 1500 ms all entries know version 9 which is written now

    Examples:
      | entries | most |
      | 2       | 20   |
      | 4       | 24   |
      | 8       | 32   |

  Scenario Outline: Entries that the coordinator reads for know in time when <fault>
    Given 4 entries of a site that follow a store with three servers
    When <fault>, and a server starts to leave
    Then within 1900 ms all entries but the coordinator know that the server leaves

    Examples:
      | fault                                          |
      | the coordinator gets no answers from the store |
      | the coordinator falls silent                   |
      | the coordinator is killed                      |

  Scenario Outline: An older configuration never comes back
    Given an entry that follows a store with three servers and a configuration
    When version <next> is written
    Then the entry goes on with version <kept>

    Examples:
      | next | kept |
      | 3    | 4    |
      | 5    | 5    |

  Scenario: A configuration that can't be read changes nothing
    Given an entry that follows a store with three servers and a configuration
    When something unreadable is written as the configuration
    Then the entry goes on with version 4

  Scenario Outline: Registrations that lapsed while the store was away
    Given an entry that follows a store with three servers and a configuration
    When the store is away and a registration lapses that <returns>
    Then the server is <known>

    Examples:
      | returns                      | known                                   |
      | is back after 1 s            | known all the time                      |
      | is not back                  | known for 1 s more and then gone        |

  Scenario Outline: Settings that are wrong are named with a number
    When the settings file has <line>
    Then the process ends with code 4006 and names <field>

    Examples:
      | line                          | field               |
      | no node_name                  | node_name           |
      | listen.front=nonsense         | listen.front        |
      | internal_port_range=7         | internal_port_range |
      | bounds.lease_ms=soon          | bounds.lease_ms     |
      | platform.address=10.0.0.1     | platform.address    |

  Scenario Outline: Mechanisms are switched off by name
    When "<names>" is switched off
    Then <result>

    Examples:
      | names                   | result                                                    |
      |                         | nothing is off                                            |
      | evacuation              | evacuation is off                                         |
      | copies, store-reader    | copies, store-reader is off                               |
      | evacuation,,            | evacuation is off                                         |
      | teleport                | code 4006 names "teleport", and all that can be named     |
      | copies,Evacuation       | code 4006 names "Evacuation", and all that can be named   |

  Scenario Outline: What is switched off is not done, <name>
    Given entries without <name>
    Then <not done>

    Examples:
      | name          | not done                                             |
      | model-pace    | a measured pace stays 1                              |
      | engine-speed  | an entry estimates engines by itself alone           |
      | queue-part    | the part of a queue that is waited for stays 1       |
      | store-reader  | the coordinator tells nothing of the store           |
      | leaving-takes | nothing is taken by a leaving entry                  |
      | late-behind   | a late request keeps its rank                        |

  Scenario: A settings file of the platform gives the product's settings
    When the settings file is the platform's example
    Then the settings name the instance, its addresses, its bounds and its failure domain

  Scenario: What may only have lapsed for the coordinator has gone for the others
    Given 4 entries of a site that follow a store with three servers
    When the coordinator has been cut from the store for 3000 ms, and a server goes right after
    Then within 1500 ms all entries but the coordinator know that the server is gone
    And 1000 ms later they still do
