Feature: A budget shares a process's memory among what callers send and are sent

  # Guards against a crowd that keeps its place by standing still, and against callers that lose theirs in calm.
  Scenario Outline: With <held> holdings of 10 MB, <stalled> of them stalled for <ms> ms, in 60 MB
    Given a memory budget of 60 MB with <held> holdings of 10 MB
    And <stalled> of them have waited for their callers for <ms> ms
    When another holding wants <wanted> bytes
    Then it <gets> them, and <gone> holdings gave way, the longest wait first

    Examples:
      | held | stalled | ms   | wanted   | gets     | gone |
      | 3    | 3       | 5000 | 10000000 | gets     | 0    |
      | 4    | 0       | 0    | 10000000 | lacks    | 0    |
      | 4    | 2       | 900  | 10000000 | lacks    | 0    |
      | 4    | 2       | 1000 | 10000000 | gets     | 1    |
      | 4    | 2       | 1000 | 25000000 | gets     | 2    |
      | 4    | 2       | 1000 | 40000000 | lacks    | 0    |
      | 4    | 0       | 0    | 60000    | gets     | 0    |

  # Guards against a refusal that isn't one of those that promise that nothing has run, or that a reset overtakes.
  Scenario Outline: A body <body> is refused, and its caller reads why
    Given a direct entry with memory for <memory> bytes before a sound target
    When a caller announces a body of 1000000 bytes with a time limit of 400 ms, and sends <sent> of them
    Then it reads status <status> and code <code>, <retry> Retry-After
    And the target got no request

    Examples:
      | body                   | memory  | sent    | status | code | retry   |
      | that finds no memory   | 500000  | 1000000 | 503    | 2021 | with a  |
      | that doesn't come      | 9000000 | 999999  | 408    | 2022 | without |
