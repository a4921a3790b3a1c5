Feature: Every journal entry of the history is still there

  Scenario Outline: A repository in which <change>
    Given a repository with two journal entries and a blob
    When <change>
    Then the check of the journal ends with <code> and names <named>

    Examples:
      | change                              | code | named           |
      | nothing changes                     | 0    | no entry        |
      | a third entry is added              | 0    | no entry        |
      | a commit deletes the first entry    | 1    | the first entry |
      | a commit renames the first entry    | 1    | the first entry |
      | the first entry is deleted, not yet committed | 1 | the first entry |
      | a deleted first entry is restored   | 0    | no entry        |
      | only the blob is deleted            | 0    | no entry        |
      | the history is damaged              | 2    | no entry        |
      | the folder is no repository         | 0    | no entry        |
