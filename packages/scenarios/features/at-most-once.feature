Feature: a request that may not be repeated runs at most once

  Scenario: both calls at once, at two instances that do not hold the ticket
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket of router 3
    When the booking is called at routers 1 and 2 at once
    Then every call is answered
    And the services counted 1 run
    When the booking is called at router 3
    Then every call is answered
    And the services counted 1 run

  Scenario: the service runs the booking and breaks the connection
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket of router 2
    And every service fails with "cut-after"
    When the booking is called at router 1
    Then every call is refused as unknown
    Given every service fails with "none"
    When the booking is called at routers 1 and 2 at once
    Then every call is refused as unknown
    And the services counted 1 run

  Scenario: the instance that holds the ticket is paused in the middle and wakes late
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket of router 3
    When router 3 is paused for 5 seconds while the booking is called at routers 1 and 2
    And the booking is called at router 2
    Then the last call is answered
    And the services counted 1 run

  Scenario: the service cannot be reached, or says that it did not start
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket of router 2
    And every service fails with "refuse"
    When the booking is called at router 1
    Then every call is refused as not-run
    Given every service fails with "none"
    When the booking is called at routers 1 and 2 at once
    Then every call is refused as not-run
    And the services counted 0 runs

  Scenario: a key of the caller's own, and a ticket for another booking
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    When the booking is called at router 1 with the key "my-own-key"
    Then every call is refused as not-run
    Given a ticket of router 2
    When the booking is called at router 1
    And another booking is called with the same ticket at router 2
    Then the last call is refused as "ticket-mismatch"
    And the services counted 1 run

  Scenario: the instance that holds the ticket is killed in the middle of the run
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket of router 3
    When the booking is called at router 1, and router 3 is killed once a service runs it
    Then every call is refused as unknown
    When the booking is called at routers 1 and 2 at once
    Then every call is refused as unknown
    And the services counted 1 run
