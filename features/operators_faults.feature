Feature: Operators' steps survive lost answers
  Guards against applying a roll twice, or recording a wrong outcome in the audit trail, when the
  object API drops a call or loses the answer to a write that took effect.

  Background:
    Given an operator desk with a target of 1000 MB

  Scenario Outline: The answer to a roll is lost by <fault>
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    And the operator faces fault "<fault>" <times> times on "PUT /objects/head"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command succeeds
    And the operator finds "night-1" in force as generation 1
    And the operator reads in the audit that "ana" roll "night-1": done

    Examples:
      | fault       | times |
      | lose_answer | 1     |
      | lose_answer | 9     |
      | drop        | 2     |
      | error       | 2     |
      | late        | 1     |
      | hang        | 1     |

  Scenario: The first write of a roll takes effect while its second one is under way
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    And the operator faces fault "late" after 150 ms on "PUT /objects/head"
    And the operator faces fault "slow" after 600 ms on "PUT /objects/head"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command succeeds
    And the operator reads ""already":false"
    And the operator finds "night-1" in force as generation 1

  Scenario: A roll that can't be settled says so
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    And the operator faces fault "drop" always on "PUT /objects/head"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command exits 3 with error 4010 "OUTCOME_UNSETTLED"
    And the operator reads in the audit that "ana" roll "night-1": asked

  Scenario: The audit tells of a roll whose outcome could not be recorded
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    And the operator faces fault "drop" always on "-done"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command succeeds
    And the operator reads in the audit that "ana" roll "night-1": done

  Scenario: No step is taken that the audit can't hold
    Given operator "ana" wrote bundle "night-1"
    And operator "berta" approved bundle "night-1"
    And the operator faces fault "drop" always on "PUT /objects/audit"
    When operator "ana" runs "bundle roll night-1"
    Then the operator's command exits 3 with error 2007 "PLATFORM_DOWN"
    And the operator finds nothing in force

  Scenario Outline: The answer to a <step> is lost
    Given operator "ana" wrote bundle "night-1"
    And the operator faces fault "lose_answer" 1 times on "PUT /objects/<key>"
    When operator "berta" runs "<command>"
    Then the operator's command succeeds
    And the operator reads in the audit that "berta" <step> "<subject>": done

    Examples:
      | step    | key       | subject  | command                                 |
      | approve | approvals | night-1  | bundle approve night-1                  |
      | approve | audit     | night-1  | bundle approve night-1                  |
      | drain   | drains    | target-1 | instance drain target-1 --reason upkeep |

  Scenario Outline: The object API does not answer at all, by <fault>
    Given operator "ana" wrote bundle "night-1"
    And the operator faces fault "<fault>" always on "/objects"
    When operator "ana" runs "bundle status"
    Then the operator's command exits 3 with error 2007 "PLATFORM_DOWN"

    Examples:
      | fault |
      | drop  |
      | error |
      | hang  |
