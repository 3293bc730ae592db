Feature: what targets bear

  Background:
    Given 7 routers under a ceiling of 8 and 6 targets in 3 zones
    And each target has 32 slots, 2 of them while cold, and is cold for 10 seconds

  Scenario: a target that restarted unseen gets no more than it bears
    When each router sends 2 requests a second to chats of "fitbrain-0" for 5 seconds
    And nothing is sent for 1 seconds
    And every router is alone
    And "fitbrain-0" restarts
    And nothing is sent for 4 seconds
    And each router sends 20 requests to chats of "fitbrain-0" at once
    Then "fitbrain-0" has at most 2 requests in flight

  Scenario: a restart that one router notices reaches the others
    When each router sends 2 requests a second to chats of "fitbrain-0" for 5 seconds
    And "fitbrain-0" restarts
    And nothing is sent for 1 seconds
    And each router sends 20 requests to chats of "fitbrain-0" at once
    Then "fitbrain-0" has at most 2 requests in flight

  Scenario: a new target gets no more than it bears over all routers, and more once it is warm
    When a new target "fitbrain-new" joins
    And nothing is sent for 2 seconds
    And each router sends 20 requests a second to chats of "fitbrain-new" for 7 seconds
    Then "fitbrain-new" never had more than 2 requests in flight
    And "fitbrain-new" got at least 1 requests
    When each router sends 20 requests a second to chats of "fitbrain-new" for 5 seconds
    Then "fitbrain-new" has at least 5 requests in flight

  Scenario: routers that hear nothing of each other keep the load multiple together
    Given a load multiple of 1.5 and a floor of 2
    When every router is alone
    And nothing is sent for 3 seconds
    And each router sends 3 requests to chats of "fitbrain-0" at once
    Then "fitbrain-0" has at most 1.5 times the mean and 6 requests in flight

  Scenario: one router lends its slots to another that needs them
    When router 0 sends 20 requests to chats of "fitbrain-0" at once
    And nothing is sent for 1 seconds
    Then "fitbrain-0" has at least 8 requests in flight
    And no target ever had more than 32 requests in flight

  Scenario: a zone taken out gets no new work, waiting and repeated requests included
    When each router sends 60 requests a second to any chat for 3 seconds
    And "zone-b" is taken out while requests wait
    And each router sends 60 requests a second to any chat for 6 seconds
    Then no target in "zone-b" got new work later than 2.5 seconds after

  Scenario: a router that reaches neither the service nor half of its peers hears of a zone taken out
    When router 0 is cut from the platform
    And "zone-b" is taken out while requests wait
    And each router sends 20 requests a second to any chat for 6 seconds
    Then no target in "zone-b" got new work later than 2.5 seconds after

  Scenario: a leaving target gets no new work, and a failed attempt there goes elsewhere
    When each router sends 4 requests a second to any chat for 2 seconds
    And "fitbrain-1" leaves and fails every request
    And each router sends 4 requests a second to any chat for 6 seconds
    Then "fitbrain-1" got no new work later than 2.5 seconds after
    And no request was refused

  Scenario: a router that pauses after its decision does not send to a zone taken out meanwhile
    When each router sends 2 requests a second to chats of "fitbrain-1" for 5 seconds
    And router 0 decides on 3 requests and pauses for 5 seconds
    And "zone-b" is taken out while requests wait
    And nothing is sent for 8 seconds
    Then router 0 sent 3 requests after its pause
    And no target in "zone-b" got new work later than 2.5 seconds after
