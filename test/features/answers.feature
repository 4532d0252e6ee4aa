Feature: Callers are told the truth

  Scenario: A payout whose upstream is down
    Given an upstream that is down
    When a caller posts a payout
    Then the caller is told not-run
    And the payout has run 0 times

  Scenario: A payout whose upstream dies without an answer
    Given an upstream that dies after the run
    And an upstream that dies after the run
    When a caller posts a payout
    Then the caller is told unknown
    And the payout has run 1 times

  Scenario: A payout that is repeated with its key
    Given an upstream that works
    When a caller posts a payout with a key
    And a caller posts a payout with a key
    Then the caller is told complete
    And the payout has run 1 times

  Scenario: A payout that an upstream refuses before running
    Given an upstream that refuses
    And an upstream that works
    When a caller posts a payout
    Then the caller is told complete
    And the payout has run 1 times

  Scenario: A status page whose upstream dies
    Given an upstream that dies after the run
    And an upstream that works
    When a caller asks for a status page
    Then the caller is told complete
