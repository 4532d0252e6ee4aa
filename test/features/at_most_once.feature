Feature: A request marked as non-idempotent runs at most once

  Background:
    Given a fleet of 6 nodes in 3 data centres

  Scenario: A payout is repeated at another node
    When a payout is sent to node 1 and runs
    And it is sent again to node 2
    Then it ran once
    And the repeat got the stored answer

  Scenario Outline: Two nodes get the same payout at once
    Given <loss> percent of the messages between nodes are lost
    When a payout is sent to nodes 1 and 2 at once
    Then it ran at most once

    Examples:
      | loss |
      | 0    |
      | 20   |

  Scenario: Replicas restart between a payout and its repeat
    When a payout is sent to node 1 and its answer is lost
    And each replica of its key restarts in turn
    And it is sent again to node 2
    Then it ran once
    And the repeat is told that its end is unknown

  Scenario: A replica is replaced between a payout and its repeat
    When a payout is sent to node 1 and its answer is lost
    And a replica of its key is lost for good
    And it is sent again to node 2
    Then it ran once

  Scenario: Most replicas of a key forget it
    When a payout is sent to node 1 and its answer is lost
    And all replicas of its key restart together
    And it is sent again to node 2
    Then it ran once

  Scenario: A hold is placed on the wrong side of a cut
    When node 1 is cut off from all others
    And a payout is sent to node 1
    Then it never ran
