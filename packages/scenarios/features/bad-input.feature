Feature: bad input gets a typed error, and keys stay where they belong

  Scenario: fuzzed requests never show a key, and run only with one
    Given a deployment of 2 routers and 2 plain services
    When 300 fuzzed requests carry keys in all kinds of places
    Then a request was answered only if its key came in the right place
    And no service, time line or metric holds a key

  Scenario: requests that can be read in two ways
    Given a deployment of 2 routers and 2 plain services
    When each ambiguous or broken request is sent
    And 100 fuzzed heads are sent
    Then each was refused with a typed error, and nothing ran
    And the routers still serve

  Scenario: peers without the secret, and peers that send nonsense
    Given a deployment of 2 routers and 2 plain services
    When strangers call every peer method
    And a peer with the secret sends nonsense to every method
    Then each was refused with a typed error, and nothing ran
    And the routers still serve
