Feature: limits of client accounts

  Scenario: one account never gets more than its rate and burst
    Given a fleet of 7 routers under a ceiling of 8
    And the account "crew" with 40 requests a second and a burst of 80
    When "crew" sends 300 requests a second for 10 seconds to all routers
    Then "crew" got no more than its rate and burst

  Scenario: a refusal for want of rate says that nothing ran
    Given a fleet of 7 routers under a ceiling of 8
    And the account "crew" with 5 requests a second and a burst of 8
    When "crew" sends 50 requests a second for 4 seconds to all routers
    Then every refusal says "not-run"
