Feature: A request that is not idempotent runs at most once

  Background:
    Given a fleet of 6 nodes in 3 data centres

  Scenario: A payout is repeated at another node
    When a payout is sent to node 1 and runs
    And it is sent again to node 2
    Then it ran once
    And the repeat gets the stored answer

  Scenario Outline: Two nodes get the same payout at the same time
    Given <loss> percent of the messages between nodes are lost
    When a payout is sent to nodes 1 and 2 at once
    Then it ran at most once

    Examples:
      | loss |
      | 0    |
      | 20   |

  Scenario: Replicas restart one by one between a payout and its repeat
    When a payout is sent to node 1 and its answer is lost
    And each replica of its key restarts in turn
    And it is sent again to node 2
    Then it ran once
    And the repeat is answered that the request may be running

  Scenario: A replica is replaced between a payout and its repeat
    When a payout is sent to node 1 and its answer is lost
    And a replica of its key is lost permanently
    And it is sent again to node 2
    Then it ran once

  Scenario: All replicas of a key restart between a payout and its repeat
    When a payout is sent to node 1 and its answer is lost
    And all replicas of its key restart together
    And it is sent again to node 2
    Then it ran once

  Scenario: A payout is sent to a partitioned node
    When node 1 is partitioned from all others
    And a payout is sent to node 1
    Then it never ran
