Feature: "Not run" means that it did not run
  Row 2 of the guarantees.

  Background:
    Given a small site

  Scenario Outline: A refusal is classified truthfully
    Given <trouble>
    When a marked call without a key is sent to "<path>" with header "<header>"
    Then the last attempt is told that it did not run, with code <code>
    And the call did not run

    Examples:
      | trouble                    | path                          | header                        | code                |
      | all workers refuse         | /v1/services/orders/reservations | -                          | endpoint_refused    |
      | all workers are killed     | /v1/services/orders/reservations | -                          | peer_unreachable or no_endpoint |
      | nothing is wrong           | /v1/services/none/reservations   | -                          | service_not_found   |
      | nothing is wrong           | /v1/services/orders/reservations | x-radishloft-timeout-ms: 0 | deadline_passed     |
      | nothing is wrong           | /v1/services/orders/reservations | x-radishloft-timeout-ms: x | invalid_request     |
      | nothing is wrong           | /v1/services/orders/reservations | authorization: Bearer no   | invalid_api_key     |
      | nothing is wrong           | /v1/services/orders/reservations | idempotency-key: a b       | invalid_request     |

  Scenario: What was refused as not run is tried on another worker
    Given one worker refuses
    When 12 marked calls without a key are sent
    Then every attempt is answered
    And each call ran once

  Scenario Outline: Bad chat requests get a clear error and the process goes on
    When the body <body> is posted as a chat
    Then it is refused with status <status> and code <code>
    And a chat is answered whole afterwards

    Examples:
      | body                                        | status | code            |
      | not json                                    | 400    | invalid_request |
      | {"model":"assistant"}                       | 400    | invalid_request |
      | {"model":"none","messages":[{"role":"user"}]} | 404  | model_not_found |
      | 5 MB of text                                | 413    | body_too_large  |
      | a body that stops half way                  | -      | -               |
      | 20 KB of headers                            | 431    | invalid_request |

  Scenario: An engine that answers outside the protocol
    Given one engine answers with garbage
    When 12 chats are sent
    Then every chat is answered whole
