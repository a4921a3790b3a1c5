Feature: One holder of the lease orders at a time

  # Guards against a holder that never took the lease up, but answers for the orders of the one before.
  Scenario: Writes of the lease take effect without an answer beside freezes, kills and rolls
    When 60 plays of three entries that contend for the lease are played from seed 1 on
    Then no entry orders within the handover time after another one, nor with a lower token
    And orders changed hands in half of the plays or more
