Feature: Operators declare and maintain a fleet

  Scenario: A file with one mistake changes nothing
    Given a running fleet
    When the operator applies a pool "fresh" and a job in pool "absent"
    Then the command is refused
    And the error names "resources[1].spec.pool"
    And there is no pool "fresh"

  Scenario: A drain waits for the work and comes back
    Given a running fleet
    And worker "w1" runs a request
    When the operator drains "w1"
    Then worker "w1" gets no new request
    And worker "w1" is not rebooted
    When the request on "w1" ends
    Then instance "w1" serves again after 1 reboot
    And no request was cut off

  Scenario: A drain that would break a budget is refused
    Given a running fleet
    When the operator drains "w1"
    And the operator drains "w2"
    Then the command is refused
    And the error names "budget desk-n"
    And instance "w2" is serving

  Scenario: Of two operators the slower one is told
    Given a running fleet
    And worker "w1" runs a request
    When the operator drains "w1"
    And another operator moves "w1" to "desk-s"
    Then the command is refused
    And the error names "is in phase draining"

  Scenario: A move is undone while it waits
    Given a running fleet
    And worker "w3" runs a request
    When the operator moves "w3" to "desk-n"
    And the operator returns "w3"
    Then instance "w3" is serving
    And instance "w3" belongs to "desk-s"
    And no request was cut off

  Scenario: The table is down
    Given a running fleet
    And the table is down
    When the operator drains "w1"
    Then the command is refused
    And the error names "platform_unavailable"
    And instance "w1" is serving
