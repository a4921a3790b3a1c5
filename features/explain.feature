Feature: An entry explains where it would send a request, and why
  Guards against an explanation that isn't what the entry does, and against one that changes what
  the entry does next.

  Scenario: An explanation and the request that follows agree
    When 50 requests are explained and then sent, each to an entry in a random state
    Then each got what its explanation told, and the states led to targets, waits, holds and refusals

  Scenario: Explanations change nothing
    Given an entry with engines, a request limit with permits, and a quota
    And the share of north is used up there
    When 100 explanations are asked for, of requests that are sent, wait or are refused
    Then no counter, permit, demand, quota or share at the entry has changed

  Scenario Outline: A refusal and its explanation name the same code: <case>
    Given an entry that is to be asked, <case>
    When a request is explained and sent there
    Then both name <code>, and the explanation tells what would change it

    Examples:
      | case                                         | code |
      | with no route for the path                   | 1007 |
      | with a stream that names two last events     | 1004 |
      | with workspaces, and no key                  | 1009 |
      | with workspaces, out of touch with the store | 2013 |
      | with so much work that all would be late     | 2002 |
      | with targets that all leave                  | 2003 |
      | that is about to exit                        | 2004 |
      | without a configuration                      | 2005 |
      | with a quota that is used up                 | 2012 |
      | with a quota that nobody has told of         | 2014 |
      | with targets that limit requests             | 2015 |
      | with targets that rest                       | 2018 |
      | with the request in quarantine               | 3007 |
      | with a resumed stream that nobody remembers  | 2016 |
      | with a resumed stream of a version long gone | 2017 |
      | with a copy of it that awaits a verdict      | 2019 |

  # Guards against an explanation that names a target for a request that isn't sent until it is refused.
  Scenario: A suspected request waits for its turn as its explanation tells
    Given an entry that is to be asked, with a copy of it at a target that may have crashed another
    When a request is explained and sent there
    Then the explanation names its turn, and the request was refused with 2019 after 1000 ms

  # Guards against an explanation that names no wait while a new process holds all requests.
  Scenario: A request to an entry that has just started waits as its explanation tells
    Given an entry that is to be asked, in a new process that nobody has told of crashes
    When a request is explained and sent there
    Then the explanation names a wait for other entries, and the request was sent after at least 300 ms

  # Guards against a wait for the version of a stream that the entry knows itself.
  Scenario: A resumed stream whose version the entry knows is explained without a wait
    Given an entry that is to be asked, with a resumed stream of the version that serves
    When a request is explained and sent there
    Then the explanation names the target that got it, and no wait

  Scenario: The parts of each cost add up to it, and the probabilities to one
    Given an entry with engines, a request limit with permits, and a quota
    When a request for model a is explained there
    Then the parts of each cost add up to it, and the probabilities to one
    And targets that may not run it have a numbered reason

  # Guards against an explanation that holds up an entry's requests for seconds, and wrong probabilities.
  Scenario Outline: The probabilities among <targets> targets, <higher> of which cost <ms> ms more
    Then the lowest of <targets> costs, <higher> of them <ms> ms higher, has the probability <lowest>, found in under 200 ms

    Examples:
      | targets | higher | ms | lowest  |
      | 2       | 1      | 2  | 0.875   |
      | 365     | 0      | 0  | 0.00274 |
      | 365     | 364    | 1  | 0.25274 |
      | 365     | 364    | 5  | 1       |

  Scenario Outline: A wrong question is answered with a numbered error that names the field
    Given an entry with a control address
    When an operator asks it for an explanation with <options>
    Then the command exits <exit> and names <text>

    Examples:
      | options                                                  | exit | text                  |
      | --host site.example --path safe/x                        | 2    | 1006 path             |
      | --path /safe/x                                           | 2    | 1006 host             |
      | --host site.example --path /safe/x --prompt-tokens=-1    | 2    | 1006 prompt_tokens    |
      | --host site.example --path /safe/x --part p              | 2    | 1006 parts            |
      | --host site.example --path /safe/x --workspace nobody    | 2    | 1006 workspace        |
      | --host site.example --path /safe/x --time-limit-ms=-1    | 2    | 1006 time_limit_ms    |
      | --host site.example --path /safe/x --headers /dev/absent | 2    | 1006 headers          |
      | --host site.example --path /safe/x                       | 0    | chosen: first         |
      | --host site.example --path /safe/x --json                | 0    | "chosen":"first"      |
      | --host other.example --path /safe/x                      | 0    | refused: 1007         |

  Scenario: A file of headers describes a request, and options take precedence
    Given an entry with engines, a request limit with permits, and a quota
    And it has a control address
    When an operator asks with a file of headers that names host, key and model c
    Then the command exits 0 and names workspace north, rank
    And the command exits 0 and names an engine that holds c
    When an operator asks with the same file, and names model b
    Then the command exits 0 and names chosen: t-2

  Scenario: Only the control address explains
    Given an entry with a control address
    When the entry's other addresses are asked for an explanation
    Then they don't explain, and an operator who asks there is told 4016

  # Guards against an explanation that leaves open why a stream can't go on at its version.
  Scenario Outline: A stream that began at <version> is explained while its model is held at <held>
    Given an entry with engines 1 and 2 at v1, 3 and 4 at v2, and the model held at <held>
    And a stream that began at <version>, and a load at v1 that ends in <loading> ms
    When the resumption is explained
    Then its version is <known>, it could run at <holders>, and is loaded there in <ready> ms
    And its code is <code>, and the command's lines name the same

    Examples:
      | version | held    | loading | known | holders         | ready | code |
      | v1      | 1       | no      | v1    | v1: t-1; v2: -  | no    | 0    |
      | v1      | 3       | no      | v1    | v1: -; v2: t-3  | no    | 2017 |
      | v1      | 3       | 60000   | v1    | v1: -; v2: t-3  | 60000 | 2017 |
      | v2      | 3       | 60000   | v2    | v1: -; v2: t-3  | no    | 0    |
      | v0      | 3       | no      | v0    | v1: -; v2: t-3  | no    | 2017 |
      | unknown | 3       | no      | -     | v1: -; v2: t-3  | no    | 2016 |
