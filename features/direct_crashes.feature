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
      | where                            |
      | always at one entry              |
      | at all entries in turn           |
