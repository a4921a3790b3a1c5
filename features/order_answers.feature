Feature: What an engine has accepted is known, also on a machine under load

  # Guards against a load that an engine carries out and nobody reserves room for, as its order's answer comes when its time passes or its coordinator's task ends.
  Scenario: Orders are answered as their time passes, on an event loop that stalls
    When 400 orders that are answered as their time passes are played from seed 1 on
    Then each load that an engine accepted is known, or kept as one that may be carried out
    And orders were answered, left unanswered and cut off
