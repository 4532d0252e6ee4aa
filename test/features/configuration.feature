Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A change reaches every node although messages are lost
    Given 16 nodes and a control host, with 20% of messages lost
    When a change is accepted
    And 9 seconds pass
    Then every node has the newest version in force

  Scenario: A control host is cut off silently and believes to be current
    Given 4 nodes and a control host, with 0% of messages lost
    When the control host loses its quorum
    And node 2 restarts
    And 3600 seconds pass
    Then node 2 takes the word of its peers, not of the control host

  Scenario: Whatever holds the configuration is out of reach for long
    Given 6 nodes and a control host, with 0% of messages lost
    When the control host is lost
    And 1800 seconds pass
    And node 1 restarts
    And 60 seconds pass
    Then every node has the newest version in force

  Scenario: A process restarts after hundreds of changes
    Given 4 nodes and a control host, with 0% of messages lost
    When 500 changes are accepted while node 3 is away
    And node 3 restarts
    And 9 seconds pass
    Then every node has the newest version in force
    And no node ever went back

  Scenario: One-way partitions between control and a node
    Given 5 nodes and a control host, with 0% of messages lost
    When node 1 hears control but is not heard by it
    And node 2 is heard by control but does not hear it
    And a change is accepted
    And 9 seconds pass
    Then every node has the newest version in force
