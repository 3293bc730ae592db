Feature: invalid input is refused with a typed error, and the key of the caller is neither forwarded nor recorded

  Scenario: fuzzed requests run only with a valid key, and the key of the caller is neither forwarded nor recorded
    Given a deployment of 2 routers and 2 plain services
    When 300 fuzzed requests are sent with a key in different places
    Then exactly the requests with a valid authorization and no known key in a forwarded place were answered, and all others refused as not run
    And no service, timeline or metric contains the key of "crew"

  Scenario: ambiguous and malformed requests
    Given a deployment of 2 routers and 2 plain services
    When each ambiguous or malformed request is sent
    And 100 fuzzed request heads are sent
    Then each was refused with a typed error, and no service ran a request
    And every router still serves requests

  Scenario: peer calls without the fleet secret, and malformed peer messages
    Given a deployment of 2 routers and 2 plain services
    When every peer method is called without the fleet secret
    And every peer method is called with the fleet secret and a malformed message
    Then each was refused with a typed error, and no service ran a request
    And every router still serves requests
