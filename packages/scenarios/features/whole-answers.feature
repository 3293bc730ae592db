Feature: a caller gets the complete answer to its own request, or a typed error

  Scenario Outline: two of three engines are faulty
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 2 engines fail with "<fault>"
    When chats of 40 tokens are sent until both faulty engines received one
    Then every answer is complete

    Examples:
      | fault    |
      | cut      |
      | truncate |
      | silent   |
      | double   |
      | cross    |
      | bloat    |

  Scenario: every engine ends its streams early
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 3 engines fail with "truncate"
    When 6 chats of 40 tokens are sent
    Then every answer is a refusal with the outcome "unknown"

  Scenario: the deadline bounds an endless stream, and a caller that disconnects cancels its request
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 3 engines fail with "endless"
    When a chat with a deadline of 1500 ms is sent
    Then every answer is a refusal with the outcome "unknown"
    When a caller disconnects in the middle of a chat
    Then no engine has requests in flight

  Scenario: when a caller stops reading, its request at the engine is canceled
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 3 engines fail with "endless"
    When a caller stops reading in the middle of a chat
    Then no engine has requests in flight

  Scenario: a request refused with the outcome not-run did not run
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And one service runs requests and closes the connection, and the others refuse
    When 12 records are requested
    Then no service ran a request that was refused with the outcome "not-run"
    And some requests were refused with the outcome "unknown"

  Scenario: a service stops responding, or answers with the identifier of another request
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And every service fails with "silent"
    When a booking is called without a ticket
    Then every answer is a refusal with the outcome "unknown"
    Given every service fails with "cross"
    When a booking is called without a ticket
    Then every answer is a refusal with the outcome "unknown"
    And the services counted 2 runs

  Scenario: a key is refused within 30 seconds after its withdrawal, and accepted again within 30 seconds after it is restored
    Given a deployment of 2 routers, 3 engines and 3 plain services
    When the key of the account is withdrawn while a connection is open
    Then a call on that connection is refused with the reason "key-unknown" within 30 seconds
    When the key of the account is restored
    Then a call on that connection is answered within 30 seconds

  Scenario: all routers are replaced under load
    Given a deployment of 2 routers, 3 engines and 3 plain services
    When every router is replaced while 8 callers read streams of 150 tokens
    Then every answer is complete
    And no router was killed

  Scenario: a caller that reads late gets its complete answer from a router that is shutting down
    Given a deployment of 2 routers, 3 engines and 3 plain services
    When a caller reads 8000000 bytes only after router 2 began to shut down
    Then it got the complete answer

  Scenario: a router ends its streams with a typed error at a second SIGINT, and at no other repeated signal
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 3 engines fail with "endless"
    When router 1 receives SIGTERM twice and SIGINT twice in the middle of a chat
    Then every answer is a refusal with the outcome "unknown"
    And the reason is "stopped"
