Feature: a request that is not retryable runs at most once

  Scenario: two concurrent calls at instances that did not issue the ticket
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket issued by router 3
    When the booking is called at routers 1 and 2 concurrently
    Then every call is answered
    And the services counted 1 run
    When the booking is called at router 3
    Then every call is answered
    And the services counted 1 run

  Scenario: the service runs the booking and closes the connection without an answer
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket issued by router 2
    And every service fails with "cut-after"
    When the booking is called at router 1
    Then every call is refused with the outcome "unknown"
    Given every service fails with "none"
    When the booking is called at routers 1 and 2 concurrently
    Then every call is refused with the outcome "unknown"
    And the services counted 1 run

  Scenario: the instance that issued the ticket is paused during the run and resumes late
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket issued by router 3
    When the booking is called at router 1, and at router 2 while router 3 is paused for 5 seconds during the run
    And the booking is called at router 2
    Then the last call is answered
    And the services counted 1 run

  Scenario: the service refuses the request before it runs
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket issued by router 2
    And every service fails with "refuse"
    When the booking is called at router 1
    Then every call is refused with the outcome "not-run"
    Given every service fails with "none"
    When the booking is called at routers 1 and 2 concurrently
    Then every call is refused with the outcome "not-run"
    And the services counted 0 runs

  Scenario: an idempotency key that is not a ticket, and a ticket that was used for another booking
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    When the booking is called at router 1 with the idempotency key "my-own-key"
    Then every call is refused with the outcome "not-run"
    Given a ticket issued by router 2
    When the booking is called at router 1
    And another booking is called with the same ticket at router 2
    Then the last call is refused with the reason "ticket-mismatch"
    And the services counted 1 run

  Scenario: the instance that issued the ticket is killed during the run
    Given a deployment of 3 routers and 2 plain services that take 400 ms
    And a ticket issued by router 3
    When the booking is called at router 1, and router 3 is killed while a service runs it
    Then every call is refused with the outcome "unknown"
    When the booking is called at routers 1 and 2 concurrently
    Then every call is refused with the outcome "unknown"
    And the services counted 1 run
