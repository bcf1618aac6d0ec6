Feature: Every caller gets the whole of its own answer
  Row 3 of the guarantees. The text of an answer follows from its request, so a caller knows its own.

  Background:
    Given a small site

  Scenario: A stream is cut at each token
    When the engines cut each stream after 1, 2, 3, 7, 19 and 20 events in turn and 4 chats are sent each time
    Then every chat is answered whole

  Scenario: An engine dies in the middle of many streams
    When 24 long chats are running
    And one engine is killed
    Then every chat is answered whole

  Scenario: An engine falls silent in the middle of many streams
    When 24 long chats are running
    And one engine falls silent
    Then every chat is answered whole

  Scenario: An entry is killed and its callers read on through another
    When 24 long chats are running
    And one entry is killed
    Then every chat is answered whole
    And some callers read on through another entry

  Scenario: The home of an engine is suspended
    When 24 long chats are running
    And one entry is suspended
    Then every chat is answered whole

  Scenario: Two requests with the same text
    When 10 chats with the same text are sent at once
    Then every chat is answered whole

  Scenario: Answers come late and out of order
    Given one engine answers 700 ms late
    When 12 chats are sent
    Then every chat is answered whole

  Scenario: An unmodified client library
    When the client library of the convention makes a plain and a streamed call
    Then both answers are whole
