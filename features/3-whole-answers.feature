Feature: Every caller gets its own complete answer
  Row 3 of the guarantees. The engines derive the answer from the request, so that callers can verify its text.

  Background:
    Given a small site

  Scenario: Streams are interrupted after different numbers of events
    When the engines interrupt each stream after 1, 2, 3, 7, 19 and 20 events in turn and 4 chats are sent each time
    Then every chat is answered completely

  Scenario: An engine is killed during many streams
    When 24 long chats are running
    And one engine is killed
    Then every chat is answered completely

  Scenario: An engine stops responding during many streams
    When 24 long chats are running
    And one engine stops responding
    Then every chat is answered completely

  Scenario: An entry is killed and its callers resume through another
    When 24 long chats are running
    And one entry is killed
    Then every chat is answered completely
    And some callers resume through another entry

  Scenario: The home router of an engine is suspended
    When 24 long chats are running
    And one entry is suspended
    Then every chat is answered completely

  Scenario: Two requests with the same text
    When 10 chats with the same text are sent at once
    Then every chat is answered completely

  Scenario: Answers arrive late and out of order
    Given one engine answers 700 ms late
    When 12 chats are sent
    Then every chat is answered completely

  Scenario: An unmodified client library
    When an OpenAI client library makes a plain and a streamed call
    Then both answers are complete
