Feature: Real entries keep the rules under faults in series and overlapping

  # Guards against a rule that entries break on real sockets, signals and clocks, though not in simulated time.
  Scenario: A soak of one seed
    When seed 1 is played on 3 entries for 40 s
    Then each rule was kept

  # Guards against streams joined of two software versions by entries that know nothing of before their start.
  Scenario: All entries are killed again and again while a software version leaves
    When seed 2 of "version change, kill all" is played on 3 entries for 20 s
    Then each rule was kept

  # Guards against an entry that is cut off and takes a stream of the new version for one of the only version.
  Scenario: An entry is cut off while a software version joins
    When seed 2 of "cut off long, version change" is played on 3 entries for 14 s
    Then each rule was kept

  # Guards against faults of links that do nothing.
  Scenario Outline: An entry that is cut off from <what> sends <kind>, which is <fate>
    When an entry that is cut off from <what> sends <kind>, and what is held back is <fate>
    Then it arrives <when>

    Examples:
      | what       | kind                | fate      | when    |
      | the store  | a call of the store | kept      | late    |
      | the store  | a call of the store | lost      | never   |
      | the store  | a message on a link | kept      | at once |
      | the store  | a datagram          | kept      | at once |
      | the others | a call of the store | kept      | at once |
      | the others | a message on a link | kept      | late    |
      | the others | a message on a link | lost      | never   |
      | the others | a datagram          | kept      | late    |
      | the others | a datagram          | lost      | never   |
      | both       | a call of the store | kept      | late    |
      | both       | a datagram          | lost      | never   |

  # Guards against a check of the soak that can't fail.
  Scenario Outline: <rule> is broken by <example>
    Given a record of <example>
    Then <rule> is broken, and no other rule

    Examples:
      | rule    | example                                          |
      | REFUSED | an unsafe run answered 503                       |
      | TWICE   | two runs of an unsafe request                    |
      | TWICE   | a stream that goes on 500 ms before the end      |
      | ORDER   | a stream without its third event                 |
      | ORDER   | a stream with an event twice                     |
      | ORDER   | a stream that is complete after three events     |
      | ORDER   | a stream joined of two runs                      |
      | ORDER   | a stream that goes on at another event           |
      | ORDER   | three streams of two versions                    |
      | LOST    | an answer cut after SIGTERM                      |
      | LOST    | an answer cut after SIGHUP                       |
      | LOST    | an answer cut beside a configuration             |
      | LOST    | four answers lost on kept connections            |
      | LOST    | five of twelve streams go on                     |
      | LOST    | five of twelve streams go on whose targets leave a minute later |
      | LOST    | five of twelve streams that move go on           |
      | MIXED   | a success without proof                          |
      | MIXED   | a success with another body                      |
      | MIXED   | a success where the target had answered otherwise|
      | MIXED   | a success with another request's answer          |
      | MIXED   | a connection with bytes before the request       |
      | UNASKED | a run that nobody asked for                      |
      | UNASKED | a run at another path                            |
      | UNASKED | a run of another body                            |
      | ONE     | a lower token after a higher one                 |
      | ONE     | two holders with one token                       |
      | ONE     | holders that take turns                          |
      | DRAIN   | a request 2100 ms after a notice                 |
      | DRAIN   | a request 2100 ms after the leaving              |
      | DRAIN   | a request 2100 ms after the leaving and a store 400 ms late |
      | DRAIN   | two of four ready after SIGTERM                  |
      | BUDGET  | four requests at four targets                    |
      | BUDGET  | more time than is left 21 times                  |
      | BUDGET  | the same time 600 ms later 21 times              |
      | BUDGET  | repeats 57 for 10 requests                       |
      | BUDGET  | three requests in a rest                         |
      | ENDED   | an entry that ended by itself                    |
      | ENDED   | an entry that outlived its grace                 |

  # Guards against a check of the soak that fails where the pages excuse what was seen.
  Scenario Outline: No rule is broken by <example>
    Given a record of <example>
    Then no rule is broken

    Examples:
      | example                                          |
      | an unsafe run answered 504                       |
      | two runs of a safe request                       |
      | a stream that goes on 300 ms before the end      |
      | a whole stream                                   |
      | a stream that is broken off after three events   |
      | a resumed stream                                 |
      | two streams of two versions                      |
      | an answer cut by a kill                          |
      | an answer cut 20 s after SIGTERM                 |
      | an answer cut at its time limit after SIGTERM    |
      | an answer that its target broke off after SIGTERM|
      | answers cut as often at other times              |
      | three answers lost on kept connections           |
      | six of twelve streams go on                      |
      | five of twelve streams go on whose targets have left |
      | six of twelve streams that move go on            |
      | a success with the whole body                    |
      | a success with half the body that was broken off |
      | a run as it was sent                             |
      | holders one after another                        |
      | a lower token just after a thaw                  |
      | a request 1900 ms after a notice                 |
      | a request 2100 ms after a notice and a stall     |
      | a request 1900 ms after the leaving              |
      | a request 2100 ms after the leaving, cut off     |
      | a request 2100 ms after the leaving and a store 500 ms late |
      | one of four ready after SIGTERM                  |
      | three requests at four targets                   |
      | more time than is left 20 times                  |
      | the same time 600 ms later 20 times              |
      | repeats 56 for 10 requests                       |
      | two requests in a rest                           |
      | an entry that ended while it started             |
