Feature: Failover of the planner
  Guards against lost or repeated loads when the planning entry is paused or killed. The lease
  only avoids duplicate work; the versions of the records prevent conflicting writes.

  Scenario: The planning entry is paused past its lease while a write of its own is late
    Given a platform site with two entries that serves "a@1:300 b@1:300"
    When the planning entry is paused with a late write while the site rolls "a@2:300 b@1:300"
    Then another entry plans within 6 s
    And the platform site holds just that within 10 s
    When the planning entry that was paused goes on
    Then its late writes changed nothing and each resident was loaded once

  Scenario: The planning entry is killed
    Given a platform site with two entries that serves "a@1:300 b@1:300"
    When the planning entry is killed while the site rolls "a@2:300 b@1:300"
    Then another entry plans within 6 s
    And the platform site holds just that within 10 s

  Scenario: The planning entry is paused while the engine of a sole replica is killed with its process
    Given a platform site with two entries that serves "a@1:300 b@1:300"
    When the planning entry is paused while the holder of "a" is killed with its engine
    Then the reach site serves all names again within 15 s
    When the planning entry that was paused goes on
    Then the platform site holds just "a@1:300 b@1:300" within 10 s
    And no reach engine was overcommitted
