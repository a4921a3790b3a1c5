Feature: A process stops gracefully
  Guards against missed stop signals and against requests cut by the end of the process.

  Scenario: A process stops though the signal reaches another of its threads
    Given an application whose main thread blocks the signal to stop
    When another thread of it takes the signal
    Then the application stops within 2000 ms

  Scenario: A process tells where its tasks wait, and goes on
    Given an entry's application that serves callers
    When it gets the signal to tell its stacks
    Then its log names the places where its tasks wait, and it still serves

  Scenario Outline: A request that comes as the process ends is not passed on and then cut, <when>
    Given an entry's application before a target that takes 400 ms
    When it ends since nobody needs it, and a request comes on an open connection <when>
    Then the caller has a whole answer, or a refusal of a request that did not run

    Examples:
      | when               |
      | just then          |
      | 30 ms after that   |
      | 80 ms after that   |

  # Guards against a process that counts its grace time from when it runs again, and is killed with its answers.
  Scenario: The signal to stop comes while the process stands still
    Given an entry's application with a grace time of 3000 ms, and a request that doesn't end
    When it gets the signal to stop as it begins to stand still for 1500 ms
    Then it has ended within 3000 ms of the signal, and the request was answered

  # Guards against an error in what all entries read, which then ends all of them at once.
  Scenario: A background task that fails is started again, and callers are served meanwhile
    Given an entry's application whose store's answers raise an error that nothing foresees, 3 times
    When it runs until it has read the store
    Then it has logged 3 failed tasks and still serves

  # Guards against a wait that outlasts the process, so that its request ends without an answer.
  Scenario: A request that waits for the first quotas is refused when its entry ends
    Given an entry's application before a target that takes 10 ms
    And its workspaces have quotas, of which no coordinator has told it yet
    When it ends since nobody needs it, while a request waits for the first quotas
    Then the caller has a whole answer, or a refusal of a request that did not run
