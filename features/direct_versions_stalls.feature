Feature: Streams are taken up at entries that stand still for moments, as on a machine under load

  # Guards against resumptions that are rejected because another entry, or this one, was late.
  Scenario Outline: Streams are taken up while entries stand still by turns, <versions>, <ms> ms
    Given <entries> entry processes before targets of versions <versions>
    When 20 streams a second are broken off for 6 s, and entries stand still for <ms> ms by turns
    Then no stream holds events of two versions
    And at least 0.9 of the streams that were taken up went on while their version was there

    Examples:
      | entries | versions        | ms  |
      | 12      | v1 v1           | 20  |
      | 12      | v1 v1           | 50  |
      | 12      | v1 v1           | 100 |
      | 12      | v1 v1           | 400 |
      | 6       | v1 v1 v1.1 v1.1 | 100 |
      | 6       | v1 v1 v1.1 v1.1 | 400 |
