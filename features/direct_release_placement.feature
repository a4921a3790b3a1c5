Feature: Streams go on at their version during a release
  Each engine has room for three models. Half of the models are in use, each held by one engine. Some engines leave, others
  of a new version take their place, and the streams at those that leave are broken off.

  # Guards against copies of models at the new version only, as their holders of the old one leave.
  Scenario Outline: Some engines of a service are released
    When <released> of <engines> engines are released
    Then at least <share> in 100 streams that are taken up go on, and 90 in 100 new ones begin

    Examples:
      | engines | released | share |
      | 8       | 4        | 95    |
      | 8       | 2        | 95    |
      | 24      | 12       | 95    |
