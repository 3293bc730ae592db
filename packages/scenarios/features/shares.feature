Feature: shares of a limit

  Scenario: a process that paused before it sent a burst does not send a second one behind it
    Given a fleet of 1 routers under a ceiling of 1
    And the account "crew" with 100 requests a second and a burst of 20
    When "crew" sends 20 requests at once and the router pauses for 400 ms before they leave
    And "crew" sends 20 requests at once
    Then "crew" got no more than its rate and burst

  Scenario: a fleet that is replaced at once does not spend a burst twice
    Given a fleet of 7 routers under a ceiling of 8
    And the account "crew" with 10 requests a second and a burst of 200
    When "crew" sends 200 requests at once
    And all routers are replaced at once
    And "crew" sends 100 requests a second for 20 seconds
    Then "crew" got no more than its rate and burst

  Scenario: more instances than the ceiling raise an alarm
    Given a fleet of 4 routers under a ceiling of 3
    And the account "crew" with 30 requests a second and a burst of 30
    Then the youngest router raised the alarm "ceiling" and owns no share
