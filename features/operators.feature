Feature: Operators write, approve and roll bundles
  Guards against unapproved, superseded or oversized bundles going in force, and against
  actions without a named operator or an audit record.

  Background:
    Given an operator desk with a target of 1000 MB

  Scenario: A bundle goes in force by three steps
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command succeeds
    And the operator finds "night-1" in force as generation 1
    And the operator reads in the audit that "ana" write "night-1": done
    And the operator reads in the audit that "berta" approve "night-1": done
    And the operator reads in the audit that "ana" roll "night-1": done

  Scenario: Two operators roll at once
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" wrote bundle "night-2"
    And operator "berta" approved bundle "night-1"
    And operator "ana" approved bundle "night-2"
    When operators "ana" and "berta" roll "night-1" and "night-2" at the same moment
    Then just one operator won and the other was told who

  Scenario: A bundle that nobody approved is not rolled
    Given operator "ana" wrote bundle "night-1"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command exits 1 with error 4003 "NOT_APPROVED"
    And the operator finds nothing in force
    And the operator reads in the audit that "ana" roll "night-1": refused

  Scenario: An approval holds for the approved content only
    Given operator "ana" wrote bundle "night-1"
    And an operator "berta" whose approval of "night-1" is of another content
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command exits 1 with error 4003 "NOT_APPROVED"
    And the operator finds nothing in force

  Scenario: Who wrote a bundle can't approve it
    Given operator "ana" wrote bundle "night-1"
    When operator "ana" runs "bundle approve night-1"
    Then the operator's command exits 1 with error 4011 "SAME_OPERATOR"
    And the operator reads in the audit that "ana" approve "night-1": refused

  Scenario: A bundle is not rolled over a newer one
    Given operator "ana" wrote bundle "night-1"
    And operator "ana" wrote bundle "night-2"
    And operator "berta" approved bundle "night-1"
    And operator "berta" approved bundle "night-2"
    And operator "carla" rolled bundle "night-2"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command exits 1 with error 4005 "SUPERSEDED"
    And the operator reads "carla rolled 'night-2' as generation 1"
    And the operator finds "night-2" in force as generation 1

  Scenario: A second roll of what is in force changes nothing
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    And operator "ana" rolled bundle "night-1"
    When operator "carla" runs "bundle roll night-1"
    Then the operator's command succeeds
    And the operator reads ""already":true"
    And the operator finds "night-1" in force as generation 1

  Scenario: A bundle's name is used once
    Given operator "ana" wrote bundle "night-1"
    When operator "berta" writes bundle "night-1"
    Then the operator's command exits 1 with error 4009 "BUNDLE_EXISTS"

  Scenario: The generation grows by one with each roll
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    And operator "ana" rolled bundle "night-1"
    And operator "ana" wrote bundle "night-2"
    And operator "berta" approved bundle "night-2"
    When operator "ana" runs "bundle roll night-2"
    Then the operator's command succeeds
    And the operator finds "night-2" in force as generation 2

  Scenario Outline: A bundle with <fault> is not written
    When operator "ana" writes a bundle with <fault>
    Then the operator's command exits 2 with error 4001 "BAD_BUNDLE"

    Examples:
      | fault                    |
      | two versions of one name |
      | an unknown key           |
      | malformed JSON           |
      | a name with an at sign   |
      | no memory for a model    |
      | a generation to come     |

  Scenario: A bundle that doesn't fit is not rolled
    Given operator "ana" wrote bundle "night-1" of 1001 MB
    And operator "berta" approved bundle "night-1"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command exits 1 with error 4002 "BUNDLE_DOES_NOT_FIT"
    And the operator finds nothing in force

  Scenario: Nothing is rolled unchecked unless the operator says so
    Given an operator desk without targets
    And operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command exits 1 with error 4002 "BUNDLE_DOES_NOT_FIT"
    When operator "ana" runs "bundle roll night-1 --without-fit-check"
    Then the operator's command succeeds
    When operator "ana" runs "audit"
    Then the operator reads "without fit check"

  Scenario: What fits is checked also when the operator asks for no check
    Given operator "ana" wrote bundle "night-1" of 1001 MB
    And operator "berta" approved bundle "night-1"
    When operator "ana" runs "bundle roll night-1 --without-fit-check"
    Then the operator's command exits 1 with error 4002 "BUNDLE_DOES_NOT_FIT"

  Scenario: Changes need a name
    When an operator without a name runs "bundle approve night-1"
    Then the operator's command exits 2 and says "give --operator NAME"

  Scenario: An unknown instance is not drained
    When operator "ana" runs "instance drain target-9 --reason upkeep"
    Then the operator's command exits 1 with error 4008 "UNKNOWN_INSTANCE"
    And the operator reads in the audit that "ana" drain "target-9": refused

  Scenario: A drain warns of the only ready replica and can be taken back
    Given the operator finds "target-7" in the instance list
    And the operator finds the only ready replica of "handover" on "target-7"
    When operator "ana" runs "instance drain target-7 --reason upkeep"
    Then the operator's command exits 0 and says "holds the only ready replica of handover"
    And the operator reads in the audit that "ana" drain "target-7": done
    When operator "berta" runs "instance undrain target-7"
    Then the operator's command exits 0 and says ""was_drained":true"

  Scenario: Operators see how bundles differ
    Given operator "ana" wrote bundle "night-1" of 100 MB
    And operator "ana" wrote bundle "night-2" of 200 MB
    When operator "ana" runs "bundle diff night-1 night-2"
    Then the operator reads ""field":"memory_mb","before":100,"after":200"

  Scenario: Operators see where models are placed
    Given the operator finds the only ready replica of "handover" on "target-1"
    When operator "ana" runs "placement show handover"
    Then the operator reads ""load":0,"ready":1,"leaving":0"

  Scenario: Operators check settings before they start anything
    When operator "ana" checks settings without "listen"
    Then the operator's command exits 2 and says "BAD_SETTINGS"
    And the operator reads "entry"
