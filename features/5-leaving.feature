Feature: A leaving endpoint gets nothing new
  Row 5 of the guarantees: nothing new after 3 s, counted by the engine.

  Background:
    Given a small site

  Scenario: An engine is ordered to drain while the platform is down
    Given the platform is down
    When chats keep coming for 9 s
    And engine e1 is ordered to drain after 1 s
    Then every chat is answered whole
    And engine e1 got no new work 3 s after it left

  Scenario: An engine leaves by itself
    When chats keep coming for 8 s
    And engine e2 starts to leave after 1 s
    Then every chat is answered whole
    And engine e2 got no new work 3 s after it left

  Scenario: The platform lists an engine as leaving
    When chats keep coming for 9 s
    And the platform lists engine e3 as leaving after 1 s
    Then every chat is answered whole
    And engine e3 takes no part in the last 3 s
