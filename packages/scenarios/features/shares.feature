Feature: shares of an account's rate limit

  Scenario: a router that pauses before its burst is sent does not send a second burst right after it
    Given a fleet of 1 routers with a ceiling of 1
    And the account "crew" with 100 requests a second and a burst of 20
    When "crew" sends 20 requests at once and the router pauses for 400 ms before they are sent
    And "crew" sends 20 requests at once
    Then "crew" did not exceed its rate and burst

  Scenario: replacing all routers at once does not grant the burst twice
    Given a fleet of 7 routers with a ceiling of 8
    And the account "crew" with 10 requests a second and a burst of 200
    When "crew" sends 200 requests at once
    And all routers are replaced at once
    And "crew" sends 100 requests a second for 20 seconds
    Then "crew" did not exceed its rate and burst

  Scenario: an instance above the ceiling raises an alarm, and no more instances than the ceiling own a share
    Given a fleet of 4 routers with a ceiling of 3
    And the account "crew" with 30 requests a second and a burst of 30
    Then only the youngest router raised the alarm "ceiling", and as many routers as the ceiling own a share
