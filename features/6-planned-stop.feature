Feature: A planned stop interrupts no request
  Row 6 of the guarantees.

  Background:
    Given a small site

  Scenario: Every router is stopped and started in turn under load
    When chats are sent continuously for 24 s
    And marked calls are sent continuously for 24 s
    And every router is stopped with SIGTERM and started again in turn
    Then every chat is answered completely
    And no caller connection was interrupted
    And every stop ended with exit code 0
    And no marked call ran twice or ran although reported as not run

  Scenario: A second SIGTERM has no effect
    When 24 long chats are running
    And one entry gets SIGTERM twice
    Then every chat is answered completely
    And no caller connection was interrupted

  Scenario: An engine is stopped with SIGTERM during long streams
    When 24 long chats are running
    And one engine gets SIGTERM
    Then every chat is answered completely
