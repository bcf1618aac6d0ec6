Feature: A call reported as not run did not run
  Row 2 of the guarantees.

  Background:
    Given a small site

  Scenario Outline: A refusal is classified correctly
    Given <fault>
    When a marked call without a key is sent to "<path>" with header "<header>"
    Then the last attempt is reported as not run, with code <code>
    And the call did not run

    Examples:
      | fault                      | path                          | header                        | code                |
      | all workers refuse         | /v1/services/orders/reservations | -                          | endpoint_refused    |
      | all workers are killed     | /v1/services/orders/reservations | -                          | peer_unreachable or no_endpoint |
      | nothing is wrong           | /v1/services/none/reservations   | -                          | service_not_found   |
      | nothing is wrong           | /v1/services/orders/reservations | x-radishloft-timeout-ms: 0 | deadline_passed     |
      | nothing is wrong           | /v1/services/orders/reservations | x-radishloft-timeout-ms: x | invalid_request     |
      | nothing is wrong           | /v1/services/orders/reservations | authorization: Bearer no   | invalid_api_key     |
      | nothing is wrong           | /v1/services/orders/reservations | idempotency-key: a b       | invalid_request     |

  Scenario: A call that a worker refused as not run is retried on another worker
    Given one worker refuses
    When 12 marked calls without a key are sent
    Then every attempt is answered
    And each call ran once

  Scenario Outline: Invalid chat requests get a specific error and the router keeps serving
    When the body <body> is posted as a chat
    Then it is refused with status <status> and code <code>
    And a chat is answered completely afterwards

    Examples:
      | body                                        | status | code            |
      | not json                                    | 400    | invalid_request |
      | {"model":"assistant"}                       | 400    | invalid_request |
      | {"model":"none","messages":[{"role":"user"}]} | 404  | model_not_found |
      | 5 MB of text                                | 413    | body_too_large  |
      | a truncated body                            | -      | -               |
      | 20 KB of headers                            | 431    | invalid_request |

  Scenario: An engine violates the protocol
    Given one engine violates the protocol
    When 12 chats are sent
    Then every chat is answered completely
