Feature: limits on the load of targets

  Background:
    Given 7 routers with a ceiling of 8 and 6 targets in 3 zones
    And each target has 32 slots, 2 of them while cold, and is cold for 10 seconds

  Scenario: a target whose restart no router noticed has no more requests in flight than its cold slots
    When each router sends 2 requests a second to chats of "fitbrain-0" for 5 seconds
    And nothing is sent for 1 seconds
    And no router can reach another
    And "fitbrain-0" restarts
    And nothing is sent for 4 seconds
    And each router sends 20 requests to chats of "fitbrain-0" at once
    Then "fitbrain-0" has at most 2 requests in flight

  Scenario: after a restart that routers notice or that peers report, a target has no more requests in flight than its cold slots
    When each router sends 2 requests a second to chats of "fitbrain-0" for 5 seconds
    And "fitbrain-0" restarts
    And nothing is sent for 1 seconds
    And each router sends 20 requests to chats of "fitbrain-0" at once
    Then "fitbrain-0" has at most 2 requests in flight

  Scenario: a new target has no more requests of all routers in flight than its cold slots, and more once it is warm
    When a new target "fitbrain-new" joins
    And nothing is sent for 2 seconds
    And each router sends 20 requests a second to chats of "fitbrain-new" for 7 seconds
    Then "fitbrain-new" never had more than 2 requests in flight
    And "fitbrain-new" got at least 1 requests
    When each router sends 20 requests a second to chats of "fitbrain-new" for 5 seconds
    Then "fitbrain-new" has at least 5 requests in flight

  Scenario: the load limit holds over all routers when they cannot reach each other
    Given a load multiple of 1.5, a load floor of 2 and 320 slots for each target
    When no router can reach another
    And nothing is sent for 3 seconds
    And each router sends 3 requests to chats of "fitbrain-0" at once
    Then "fitbrain-0" has at most 1.5 times the mean plus 6 requests in flight

  Scenario: routers lend their unused slots to a router that needs them
    When router 0 sends 20 requests to chats of "fitbrain-0" at once
    And nothing is sent for 1 seconds
    Then "fitbrain-0" has at least 8 requests in flight
    And no target ever had more than 32 requests in flight

  Scenario: a drained zone gets no new work, not even requests that were queued before the drain
    When each router sends 60 requests a second to any chat for 3 seconds
    And "zone-b" is drained
    And each router sends 60 requests a second to any chat for 6 seconds
    Then no target in "zone-b" got new work more than 2.5 seconds after the drain

  Scenario: a router that cannot reach the platform is notified of a drained zone by its peers
    When router 0 cannot reach the platform
    And "zone-b" is drained
    And each router sends 20 requests a second to any chat for 6 seconds
    Then no target in "zone-b" got new work more than 2.5 seconds after the drain

  Scenario: a leaving target gets no new work, and its failed attempts are retried at other targets
    When each router sends 4 requests a second to any chat for 2 seconds
    And "fitbrain-1" is leaving and fails every request
    And each router sends 4 requests a second to any chat for 6 seconds
    Then "fitbrain-1" got no new work more than 2.5 seconds after it began to leave
    And no request was refused

  Scenario: a router that pauses between choosing a target and sending does not send to a zone drained in the meantime
    When each router sends 2 requests a second to chats of "fitbrain-1" for 5 seconds
    And router 0 chooses targets for 3 requests to chats of "fitbrain-1" and pauses for 5 seconds
    And "zone-b" is drained
    And nothing is sent for 8 seconds
    Then router 0 sent 3 requests after its pause
    And no target in "zone-b" got new work more than 2.5 seconds after the drain
