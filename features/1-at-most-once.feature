Feature: A marked call runs at most once
  Row 1 of the guarantees. Runs are counted by the workers, outcomes by the callers.

  Background:
    Given a small site
    And the key owners have settled

  Scenario: The same key sent at once through two entries
    Given the workers take 400 ms
    When a marked call with a fresh key is sent through all entries at once
    Then every attempt is answered
    And the call ran once

  Scenario: The entry is killed after sending
    Given the workers take 800 ms
    When a marked call with a fresh key is sent through an entry that does not own the key
    And that entry is killed after 300 ms
    And the call is repeated through another entry
    Then the last attempt is answered
    And the call ran once

  Scenario: The owner of the key is killed after sending
    Given the workers take 800 ms
    When a marked call with a fresh key is sent through an entry that does not own the key
    And the owner of the key is killed after 300 ms
    And the call is repeated through every entry for 12 s
    Then no attempt is told that it did not run
    And the call ran once

  Scenario: The owner of the key is killed before anything is sent
    When the owner of the next key is killed
    And a marked call with that key is sent through another entry
    Then the last attempt is of unknown outcome
    And the call ran at most once

  Scenario: The owner sleeps past its lease with the call in hand and wakes late
    Given the workers take 800 ms
    When a marked call with a fresh key is sent through an entry that does not own the key
    And the owner of the key is suspended after 200 ms
    And the call is repeated through every entry for 6 s
    And the owner of the key wakes
    And the call is repeated through every entry for 2 s
    Then the call ran once

  Scenario: A cut runs through the data centre of the owner
    When the owner of the next key is cut off from its data centre
    And a marked call with that key is sent through every entry
    Then the call ran at most once
    And after the cut is healed the call has still run at most once

  Scenario: The worker's answer is lost
    Given the workers lose their answers
    When a marked call with a fresh key is sent through an entry
    And the call is repeated through every entry for 2 s
    Then no attempt is told that it did not run
    And the call ran once

  Scenario: A marked call without a key whose answer is lost is not repeated
    Given the workers lose their answers
    When a marked call without a key is sent through an entry
    Then the last attempt is of unknown outcome
    And the call ran once

  Scenario: A ticket is used twice
    When a marked call with a ticket is sent through all entries at once
    Then every attempt is answered
    And the call ran once

  Scenario: The instance that issued a ticket is gone
    Given the workers take 800 ms
    When a marked call with a ticket is sent through another entry than the issuer
    And the issuer is killed after 300 ms
    And the issuer starts again
    And the call is repeated through every entry for 3 s
    Then no attempt is told that it did not run
    And the call ran once
