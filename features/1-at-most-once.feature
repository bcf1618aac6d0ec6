Feature: A marked call runs at most once
  Row 1 of the guarantees. Executions are counted by the workers, outcomes by the callers. Marked calls must not be executed twice.

  Background:
    Given a small site
    And the key owners accept new keys

  Scenario: The same key sent at once through two entries
    Given the workers take 400 ms
    When a marked call with a new key is sent through all entries at once
    Then every attempt is answered
    And the call ran once

  Scenario: The entry is killed after sending
    Given the workers take 800 ms
    When a marked call with a new key is sent through an entry that does not own the key
    And that entry is killed after 300 ms
    And the call is repeated through another entry
    Then the last attempt is answered
    And the call ran once

  Scenario: The owner of the key is killed after sending
    Given the workers take 800 ms
    When a marked call with a new key is sent through an entry that does not own the key
    And the owner of the key is killed after 300 ms
    And the call is repeated through every entry for 12 s
    Then no attempt is reported as not run
    And the call ran once

  Scenario: The owner of the key is killed before anything is sent
    When the owner of the next key is killed
    And a marked call with that key is sent through another entry
    Then the last attempt is of unknown outcome
    And the call ran at most once

  Scenario: The owner is suspended past its lease with the call in flight and is resumed late
    Given the workers take 800 ms
    When a marked call with a new key is sent through an entry that does not own the key
    And the owner of the key is suspended after 200 ms
    And the call is repeated through every entry for 6 s
    And the owner of the key is resumed
    And the call is repeated through every entry for 2 s
    Then the call ran once

  Scenario: A partition separates the owner from its data centre
    When the owner of the next key is partitioned from its data centre
    And a marked call with that key is sent through every entry
    Then the call ran at most once
    And after the partition is healed the call has still run at most once

  Scenario: The worker's response is lost
    Given the workers lose their responses
    When a marked call with a new key is sent through an entry
    And the call is repeated through every entry for 2 s
    Then no attempt is reported as not run
    And the call ran once

  Scenario: A marked call without a key whose response is lost is not repeated
    Given the workers lose their responses
    When a marked call without a key is sent through an entry
    Then the last attempt is of unknown outcome
    And the call ran once

  Scenario: A ticket is used twice
    When a marked call with a ticket is sent through all entries at once
    Then every attempt is answered
    And the call ran once

  Scenario: The router that issued a ticket is killed
    Given the workers take 800 ms
    When a marked call with a ticket is sent through another entry than the issuer
    And the issuer is killed after 300 ms
    And the issuer starts again
    And the call is repeated through every entry for 3 s
    Then no attempt is reported as not run
    And the call ran once
