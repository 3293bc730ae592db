Feature: configuration in force

  Scenario: a new version is in force everywhere within four seconds
    Given a fleet of 7 routers in 3 availability zones
    When version 2 is published
    And 4 seconds pass
    Then every router has version 2 in force

  Scenario: a router cut from the service hears of a new version from its peers
    Given a fleet of 7 routers in 3 availability zones
    And router 3 is cut from the configuration service
    When version 2 is published
    And 4 seconds pass
    Then every router has version 2 in force

  Scenario: a starting router that reads a stale replica serves no withdrawn key
    Given a fleet of 5 routers in 3 availability zones
    And one replica of the configuration service stands still
    When the key of "crew" is withdrawn
    And 4 seconds pass
    And a router starts that reads the replica that stands still
    And "crew" calls the new router for 10 seconds
    Then no request of "crew" ran since the key was withdrawn

  Scenario: a withdrawn key stops queued work
    Given a fleet of 3 routers in 3 availability zones
    And every target takes 60 seconds for a request
    When "crew" fills every queue
    And the key of "crew" is withdrawn
    And 4 seconds pass
    Then no request of "crew" is waiting
    And no request of "crew" ran in the last second

  Scenario: a replica that stands still is no proof that a key is valid
    Given a fleet of 3 routers in 3 availability zones
    When every router reads a replica that stands still
    And 40 seconds pass
    And "crew" calls every router
    Then every call was refused as "configuration-stale"

  Scenario: few instances call the configuration service
    Given a fleet of 48 routers in 3 availability zones
    When 10 seconds pass
    Then the service was called at most 30 times a second in that time
