Feature: A request that crashes the targets that run it is not sent again and again

  # Guards against repeats without end of a request under which three targets have crashed: its later
  # arrivals were new requests to every entry.
  Scenario Outline: Later arrivals of a request that crashed three engines reach no more, <where>
    Given 4 entry processes before 6 engines that come back after a crash
    When a request that crashes engines comes 20 times in 8 s, <where>
    Then it crashed at least 3 engines
    And it reached engines at most 3 times later than 3000 ms after its third crash
    And no sound request was rejected for the crashes

    Examples:
      | where                                                                        |
      | always at one entry                                                          |
      | at all entries in turn                                                       |
      | at all entries in turn, the one that had it starts again after each crash    |
      | at all entries in turn, the coordinator starts again after the second crash  |
      | at all entries in turn, the coordinator is gone after the second crash       |

  # Guards against a crash that is taken for the end of a response that has no mark at its end.
  Scenario: A request that crashes engines whose responses mark no end is found as fast
    Given 4 entry processes before 6 engines that mark no end and crash
    When a request that crashes engines comes 20 times in 8 s, at all entries in turn
    Then it crashed at least 3 engines
    And it reached engines at most 3 times later than 3000 ms after its third crash
    And no sound request was rejected for the crashes

  # Guards against an error that clears a request of the crashes: it doesn't show that targets survive it.
  Scenario: A request that crashes engines or is failed by them is found as fast
    Given 4 entry processes before 6 engines that crash, or fail one request in 3 with an error
    When a request that crashes engines comes 20 times in 8 s, at all entries in turn
    Then it crashed at least 3 engines
    And it reached engines at most 3 times later than 3000 ms after its third crash
    And no sound request was rejected for the crashes

  Scenario: An entry sends one copy of a suspected request at a time
    Given an entry with a request that was at two crashes, before two targets
    When 6 copies of it come at once
    Then no two of them were at targets at the same time, and all are served

  # Guards against a request that is sent to a target which other entries saw crash: it looks empty, and
  # stays registered for some seconds.
  Scenario: A request that was at two crashes goes to no target that is known to have crashed
    Given an entry with a request that was at two crashes, before two targets
    When another entry tells of a crash of the first target, and the request comes
    Then it was sent to the second target only

  # Guards against waiters that wake each other without end: the entry did nothing else for a second.
  Scenario: Copies of a suspected request wait without keeping the entry busy
    Given an entry with a request that was at three crashes beside another one, before a silent target
    When 4 copies of it wait for 300 ms
    Then the evidence was reviewed at most 12 times

  Scenario: A request that waits for a target is held once it may have crashed three
    Given an entry with a request that waits for a target
    When it was at three crashes by the time a target is there
    Then it reaches the target no sooner than 400 ms later

  # Guards against one count for all crashes of a target that keeps its identity, and against a crash
  # that is seen where only a connection broke.
  # Guards against a request that is sent in the moment before the others' verdict on it arrives: an
  # entry that came back crashed a sixth engine with a request that all others rejected.
  Scenario: An entry that has just started sends nothing before it is told of crashes
    Given an entry that has just started, before a target
    When a request comes
    Then it isn't sent within 200 ms, and is rejected once another entry tells of its verdict

  Scenario: An entry that has just started waits for a limited time to be told of crashes
    Given an entry that has just started, before a target
    When a request comes
    Then it is served within 1000 ms if nobody tells of crashes

  Scenario: Crashes of a target that starts again under its identity are told apart
    Given an entry before a target that crashes, and starts again under its identity
    When it breaks off a request and goes on, and crashes under another one
    Then the requests were at 2 crashes, one of them at none

  # Guards against a promise that a request has not run when an earlier arrival of it has.
  Scenario Outline: A quarantined request is answered at once, <kind>
    Given an entry with a quarantined request
    When it comes as <kind>
    Then it is answered 502 with code 3007 within 100 ms, without Retry-After and without a target

    Examples:
      | kind                          |
      | an idempotent request         |
      | a request that may run once   |
      | a stream                      |
      | a resumable stream            |

  Scenario: A verdict ends runs that wait or are at a target
    Given an entry with a request at a target that says nothing
    When it is quarantined on another entry's evidence
    Then the caller gets 502 with code 3007 within 300 ms and the target's connection is closed

  Scenario: An operator lists and lifts a quarantine
    Given an entry with a quarantined request
    When an operator lifts its quarantine on the metrics address
    Then the request is served, and the list is empty
