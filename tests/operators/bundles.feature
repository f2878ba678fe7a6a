Feature: Rolling a bundle
  Operators change the deployment only by rolling out bundles.

  Scenario: A signed bundle comes into force on every VM
    When the operator creates, signs and rolls "one"
    Then bundle 1 is in force on every VM
    And the merged timeline has "bundle" events of "vm1,vm2"

  Scenario: A bundle without a signature never reaches the store
    Given "one" was rolled
    And "two" was created but not signed
    When the operator runs "bundle roll @two"
    Then the command ends with 1 and prints "root.signatures"
    And bundle 1 is in force on every VM

  Scenario: Two operators roll at the same time
    Given "one" was rolled
    And "left" and "right" were signed as successors of "one"
    When both are rolled at the same time
    Then exactly one roll succeeds and the other is refused as a conflict
    And bundle 2 is in force on every VM

  Scenario: The reply of the store is lost
    Given "one" was rolled
    And the store loses the reply of the next write
    When the operator creates, signs and rolls "two"
    Then bundle 2 is in force on every VM

  Scenario: The reply of a daemon is lost
    Given "one" was rolled
    And "two" was signed
    And the first daemon forwards requests and drops the replies
    When the operator rolls "two" in a separate process
    Then the roll succeeds after a lost reply
    And bundle 2 is in force on every VM

  Scenario: The store is out
    Given "one" was rolled
    And "two" was signed
    And the store is unavailable
    When the operator runs "bundle roll @two"
    Then the command ends with 4 and prints "the store"

  Scenario: A difference is shown before a roll
    Given "one" was rolled
    And "two" was created with another model version
    When the operator runs "bundle diff @two"
    Then the difference names the model "m" and the field "version"
