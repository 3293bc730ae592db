Feature: rate limits of client accounts

  Scenario: an account never exceeds its rate and burst over the whole fleet
    Given a fleet of 7 routers with a ceiling of 8
    And the account "crew" with 40 requests a second and a burst of 80
    When "crew" sends 300 requests a second for 10 seconds to all routers
    Then "crew" did not exceed its rate and burst

  Scenario: every refusal of an account above its rate limit states that nothing ran
    Given a fleet of 7 routers with a ceiling of 8
    And the account "crew" with 5 requests a second and a burst of 8
    When "crew" sends 50 requests a second for 4 seconds to all routers
    Then every refusal has the outcome "not-run"
