Feature: An accepted file is in force on every router within 4 s and is never replaced by an older one
  Row 7 of the guarantees.

  Background:
    Given a small site

  Scenario: A new file
    When a new file is published
    Then it is in force on every router within 4 s

  Scenario: An invalid file after a valid one
    When a new file is published
    And it is in force on every router within 4 s
    And an invalid file is published
    Then the last valid file stays in force for 3 s
    And the status shows the refusal with its reasons

  Scenario: Two operators publish concurrently
    When two files are published at the same moment
    Then the later of the two is in force on every router within 4 s

  Scenario: The platform serves an old revision
    When a new file is published
    And it is in force on every router within 4 s
    And the platform serves the first revision again
    And one router is killed and started again
    Then the last valid file stays in force for 3 s

  Scenario: Routers restart without a stored configuration while the platform is down
    When a new file is published
    And it is in force on every router within 4 s
    And the platform goes down
    And all routers but one are killed and started again in turn
    Then the last valid file stays in force for 1 s
    And a chat is answered completely afterwards

  Scenario: A router is suspended during three changes
    When one router is suspended
    And 3 new files are published, one a second
    And the router is resumed
    Then the last file is in force on every router within 4 s

  Scenario: A data centre is partitioned and rejoins
    When data centre dc-a is partitioned from the others and the platform
    And a new file is published
    Then the file is in force on every router outside dc-a within 4 s
    And both sides answer chats
    When the partition is healed
    Then it is in force on every router within 4 s
