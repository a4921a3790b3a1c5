Feature: Load is even although what entries know of it is old

  22 engines of speeds 0.7, 0.7 and 1.7 hold a model; 0.6 of what they read in a time is requested.

  # Guards against all entries sending to the engine that was the emptiest in the last report.
  Scenario Outline: The wait at the 99th percentile is never longer for the spread
    Given <entries> entries whose reports are up to <age> ms old
    When requests come for 20 s, with the spread and without
    Then the first token at the 99th percentile comes no later with it

    Examples:
      | entries | age  |
      | 24      | 100  |
      | 24      | 300  |
      | 24      | 1000 |
      | 4       | 0    |
      | 4       | 300  |
      | 4       | 1000 |

  # The stated target of 1.3 times; see KNOWN-RED.txt.
  Scenario: Old reports cost at most 1.3 times the wait of fresh ones
    Given 24 entries whose reports are up to 300 ms old
    When requests come for 20 s, with the spread and without
    Then the first token at the 99th percentile comes within 1.3 times of that with fresh reports

  Scenario Outline: How far a request may be spread
    Then with <entries> entries, reports <age> ms old and <spare> ms to the objective the spread is <spread> ms

    Examples:
      | entries | age   | spare | spread |
      | 24      | 0     | 1500  | 50     |
      | 24      | 300   | 1600  | 100    |
      | 24      | 300   | 400   | 25     |
      | 24      | 300   | 0     | 0      |
      | 24      | 90000 | 8000  | 500    |
      | 24      | -5000 | 1500  | 50     |
      | 7       | 300   | 1500  | 0      |
      | 0       | 300   | 1500  | 0      |

  # Guards against spreading to engines that have to read a shared prompt part again.
  Scenario: Only engines that have as much of the prompt cached are drawn
    Given two of three idle engines have the first part of a prompt cached
    When 200 requests are chosen for with a spread of 500 ms
    Then both are chosen, and the third is not

  # Guards against a lost coordinator after which all entries follow its last totals.
  Scenario: Without a coordinator requests are spread by the highest age
    Given an entry of 24 that has lost its coordinator 5 s ago
    Then it takes the load as 1000 ms old

  # Guards against an explanation that holds up the entry's requests, and against wrong probabilities.
  Scenario Outline: The probabilities among <targets> targets, <alike> of which have each cost
    Given the costs of <targets> targets within the jitter, <alike> of them alike
    When the probability of each target is computed
    Then it takes at most 60 ms of processor time, and the probabilities differ from drawn ones by at most 0.01

    Examples:
      | targets | alike |
      | 2       | 1     |
      | 40      | 1     |
      | 365     | 1     |
      | 365     | 2     |
      | 365     | 73    |
