Feature: operators inspect a fleet and drain instances

  Scenario: an operator explains a request, drains an instance and undrains it
    Given a fleet of 2 routers, 3 engines and 1 plain service
    When the operator asks for the status
    Then both instances are ready with version 1
    When "lighthouse-crews" sends that chat to router 1
    And the operator asks router 1 which target it would choose for a chat of "lighthouse-crews"
    And "lighthouse-crews" sends that chat to router 1
    Then the chat was answered by that target
    And the operator finds that the request ended as "completed" at that target
    When the operator drains router 1
    Then the command exits with 0
    When the operator asks for the status
    Then the status reports router 1 as draining and the command exits with 1
    When "lighthouse-crews" sends that chat to router 1
    Then it is refused with the reason "draining"
    And the operator finds that the request ended as "refused" at no target
    When the operator undrains router 1
    And "lighthouse-crews" sends that chat to router 1
    Then the chat was answered by that target
    And the timeline of router 1 records both actions with their operator
    And the metrics of router 1 count 3 completed requests and 1 refusal with the reason "draining"
    And the metrics of router 1 count bytes read and written on the links to peers and to the platform
    And the merged timeline shows the first completed request at its caller, router and target

  Scenario: a command with a wrong token is refused
    Given a fleet of 1 routers, 1 engines and 1 plain service
    When router 1 is drained with a wrong token
    Then the command exits with 3
    When the operator asks for the status
    Then the status reports router 1 as not draining and the command exits with 0
