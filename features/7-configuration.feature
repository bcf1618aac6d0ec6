Feature: An accepted file is in force everywhere within 4 s and never goes back
  Row 7 of the guarantees.

  Background:
    Given a small site

  Scenario: A new file
    When a new file is published
    Then it is in force on every router within 4 s

  Scenario: A refused file after a good one
    When a new file is published
    And it is in force on every router within 4 s
    And a file that is not valid is published
    Then the good file stays in force for 3 s
    And the refusal is shown with its reasons

  Scenario: Two operators at once
    When two files are published at the same moment
    Then the later of the two is in force on every router within 4 s

  Scenario: The platform goes back in time
    When a new file is published
    And it is in force on every router within 4 s
    And the platform shows the first revision again
    And one router is killed and started again
    Then the good file stays in force for 3 s

  Scenario: Routers restart with nothing while the platform is down
    When a new file is published
    And it is in force on every router within 4 s
    And the platform goes down
    And all routers but one are killed and started again in turn
    Then the good file stays in force for 1 s
    And a chat is answered whole afterwards

  Scenario: A router sleeps through three changes
    When one router is suspended
    And 3 new files are published, one a second
    And the router wakes
    Then the last file is in force on every router within 4 s

  Scenario: A data centre is cut off and rejoins
    When data centre dc-a is cut off from the others and the platform
    And a new file is published
    Then the file is in force on every router outside dc-a within 4 s
    And both sides answer chats
    When the cut is healed
    Then it is in force on every router within 4 s
