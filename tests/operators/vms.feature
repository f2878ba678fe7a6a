Feature: Draining VMs and reading their state

  Background:
    Given "one" was rolled

  Scenario: A drained VM takes no new work until it is admitted
    When the operator runs "vm drain vm2"
    Then "vm2" answers callers with 503
    And the status of "vm2" is "leaving"
    And "vm1" answers callers with 200
    When the operator runs "vm admit vm2"
    Then "vm2" answers callers with 200

  Scenario: VMs that the configuration does not name are found through the others
    Given the configuration names only the listener of "vm1"
    When the operator runs "vm drain vm2"
    Then the status of "vm2" is "leaving"
    And the merged timeline has "bundle" events of "vm1,vm2"

  Scenario: A VM that is not a member
    When the operator runs "vm drain vm9"
    Then the command ends with 1 and prints "vm9"

  Scenario: A wrong operator key
    Given the operator has another key
    When the operator runs "vm drain vm2"
    Then the command ends with 7 and prints "operator key"

  Scenario: A daemon that does not answer is named
    Given the daemon of "vm2" was killed
    When the operator runs "status"
    Then the command ends with 6 and prints "Connect call failed"

  Scenario: Metrics are served without a client account
    When the operator runs "status"
    Then the metrics of "vm1" contain "heathershunt_bundle_version 1"
