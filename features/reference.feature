Feature: The reference pages match the code

  Scenario: The pages made from the code are the ones that are committed
    When the reference tool checks its pages
    Then it finds none that is stale

  Scenario Outline: A page that is not what the code gives is found
    Given a copy of the documents in which the page "<page>" is <fault>
    When the reference tool checks its pages
    Then it names the page "<page>" as stale

    Examples:
      | page            | fault             |
      | settings.md     | changed by a word |
      | settings.md     | absent            |
      | result-codes.md | changed by a word |
      | result-codes.md | absent            |

  Scenario: Every example of a settings key passes the check
    When each key's example is put into good settings
    Then the check accepts each of them

  Scenario: The page of metrics names just the metrics that the code sends
    When the code is searched for metrics
    Then the section "Metrics" of the page lists the same

  Scenario: The page of logs names just the parts that the code logs
    When the code is searched for log parts
    Then the section "Logs" of the page lists the same

  Scenario: Every example settings file passes the check
    When the settings files under docs/examples are checked
    Then each of them is good
    And there are examples of "puravida" and "cathaoir" for an entry, an engine and a service

  Scenario: Every example bundle is well formed and names the service of its example target
    When the bundles under docs/examples are read
    Then each of them is well formed
    And each names the service that its site's service target carries
