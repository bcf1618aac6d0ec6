Feature: A planned stop cuts nothing
  Row 6 of the guarantees.

  Background:
    Given a small site

  Scenario: Every router is stopped and started in turn under load
    When chats keep coming for 24 s
    And marked calls keep coming for 24 s
    And every router is stopped with SIGTERM and started again in turn
    Then every chat is answered whole
    And no connection of a caller was cut
    And every stop ended with exit code 0
    And no marked call ran twice or ran though refused

  Scenario: A second SIGTERM changes nothing
    When 24 long chats are running
    And one entry gets SIGTERM twice
    Then every chat is answered whole
    And no connection of a caller was cut

  Scenario: An engine is stopped with SIGTERM during long streams
    When 24 long chats are running
    And one engine gets SIGTERM
    Then every chat is answered whole
