Feature: distribution of the configuration

  Scenario: every router applies a new version within four seconds
    Given a fleet of 7 routers in 3 availability zones
    When version 2 is published
    And 4 seconds pass
    Then every router has applied version 2

  Scenario: a router that cannot reach the configuration service receives a new version from its peers
    Given a fleet of 7 routers in 3 availability zones
    And router 3 cannot reach the configuration service
    When version 2 is published
    And 4 seconds pass
    Then every router has applied version 2

  Scenario: a router that starts with a stale replica serves no withdrawn key
    Given a fleet of 5 routers in 3 availability zones
    And one replica of the configuration service stops updating
    When the key of "crew" is withdrawn
    And 4 seconds pass
    And a router starts that reads the stale replica
    And "crew" calls the new router for 10 seconds
    Then no request of "crew" was sent to a target after the key was withdrawn

  Scenario: queued requests of a withdrawn key are not sent to a target
    Given a fleet of 3 routers in 3 availability zones
    And every target takes 60 seconds for a request
    When "crew" sends requests so fast that some are queued at every router
    And the key of "crew" is withdrawn
    And 4 seconds pass
    Then no request of "crew" is queued
    And no request of "crew" was sent to a target in the last second

  Scenario: routers that read only a stale replica refuse calls, because it does not prove that a key is still valid
    Given a fleet of 3 routers in 3 availability zones
    When every router reads a stale replica
    And 40 seconds pass
    And "crew" calls every router
    Then every call was refused with the reason "configuration-stale"

  Scenario: the call rate at the configuration service stays low in a large fleet
    Given a fleet of 48 routers in 3 availability zones
    When 10 seconds pass
    Then the configuration service received at most 30 calls a second in that time
