Feature: An entry's process starts under signals

  # Guards against a process that a change of its settings ends while it starts.
  Scenario: The settings change while a process starts
    Given an entry process before a store
    When it starts and gets signals to read its settings again, from before it reads them until it is ready
    Then it is ready and goes on running
