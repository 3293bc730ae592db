Feature: Operators see what a fleet does, and drain instances

  Scenario: An operator explains a request, drains an instance and takes it back
    Given a fleet of 2 routers, 3 engines and 1 plain service
    When the operator asks for the status
    Then both instances are ready with version 1
    When "lighthouse-crews" sends that chat to router 1
    And the operator asks router 1 where a chat of "lighthouse-crews" would go
    And "lighthouse-crews" sends that chat to router 1
    Then the answer came from the target that was named
    And the operator sees the request as "completed" at that target
    When the operator drains router 1
    Then the command ends with 0
    When the operator asks for the status
    Then the status of router 1 is "draining" and the command ends with 1
    When "lighthouse-crews" sends that chat to router 1
    Then it is refused as "draining"
    And the operator sees the request as "refused" at no target
    When the operator undrains router 1
    And "lighthouse-crews" sends that chat to router 1
    Then the answer came from the target that was named
    And the time line of router 1 names the operator of both actions
    And the metrics of router 1 count 3 completed requests and 1 refusal as "draining"
    And the metrics of router 1 count bytes to peers and to the platform
    And the merged time line follows the request through its caller, router and target

  Scenario: A command with a wrong token learns nothing
    Given a fleet of 1 routers, 1 engines and 1 plain service
    When somebody with a wrong token drains router 1
    Then the command ends with 3
    When the operator asks for the status
    Then the status of router 1 is "ready" and the command ends with 0
