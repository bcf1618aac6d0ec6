Feature: A leaving endpoint gets no new requests
  Row 5 of the guarantees: no new requests after 3 s, counted by the engine.

  Background:
    Given a small site

  Scenario: An engine is ordered to drain while the platform is down
    Given the platform is down
    When chats are sent continuously for 9 s
    And engine e1 is ordered to drain after 1 s
    Then every chat is answered completely
    And engine e1 got no new requests more than 3 s after it started leaving

  Scenario: An engine reports itself as leaving
    When chats are sent continuously for 8 s
    And engine e2 starts leaving after 1 s
    Then every chat is answered completely
    And engine e2 got no new requests more than 3 s after it started leaving

  Scenario: The platform lists an engine as leaving
    When chats are sent continuously for 9 s
    And the platform lists engine e3 as leaving after 1 s
    Then every chat is answered completely
    And engine e3 gets no new chats afterwards
