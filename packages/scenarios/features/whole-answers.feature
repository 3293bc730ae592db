Feature: a caller gets the whole answer to its own request, or a typed end

  Scenario Outline: two of three engines are at fault
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 2 engines fail with "<fault>"
    When chats of 40 tokens are called until both engines at fault were reached
    Then every answer is whole

    Examples:
      | fault    |
      | cut      |
      | truncate |
      | silent   |
      | double   |
      | cross    |
      | bloat    |

  Scenario: every engine is at fault after some tokens
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 3 engines fail with "truncate"
    When 6 chats of 40 tokens are called
    Then every answer is a refusal with the outcome "unknown"

  Scenario: an engine that never ends is bounded by the deadline, and a caller that leaves cancels
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 3 engines fail with "endless"
    When a chat with a deadline of 1500 ms is called
    Then every answer is a refusal with the outcome "unknown"
    When a caller leaves in the middle of a chat
    Then no engine has work in flight

  Scenario: a caller that does not read is cut, and the engine is freed
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And 3 engines fail with "endless"
    When a caller stops to read in the middle of a chat
    Then no engine has work in flight

  Scenario: a refusal that says not-run is true
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And one service runs and breaks the connection, and the others refuse
    When 12 records are called
    Then no service ran a request that was refused as not-run
    And some requests were refused as unknown

  Scenario: a service that falls silent, or answers another request
    Given a deployment of 2 routers, 3 engines and 3 plain services
    And every service fails with "silent"
    When a booking is called without a ticket
    Then every answer is a refusal with the outcome "unknown"
    Given every service fails with "cross"
    When a booking is called without a ticket
    Then every answer is a refusal with the outcome "unknown"
    And the services counted 2 runs

  Scenario: a withdrawn key stops within seconds, and nothing else does
    Given a deployment of 2 routers, 3 engines and 3 plain services
    When the key of the account is withdrawn while a connection is open
    Then a call on that connection is refused as "key-unknown" within seconds
    When the key of the account is given back
    Then a call on that connection is answered within seconds

  Scenario: the whole fleet is replaced under load
    Given a deployment of 2 routers, 3 engines and 3 plain services
    When every router is replaced while 8 callers hold streams of 150 tokens
    Then every answer is whole
    And no router was killed

  Scenario: a caller that reads late gets its whole answer from a router that stops
    Given a deployment of 2 routers, 3 engines and 3 plain services
    When a caller reads 8000000 bytes only after router 2 was told to stop
    Then it got the whole answer
