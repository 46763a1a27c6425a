Feature: What must hold whatever fails

  Whatever fails, no at-most-once request runs twice, "not run" is said only of requests that did
  not run, every answer belongs to its own request, and no target gets more than its slots.

  Background:
    Given the java deployment with steady Lookups and Orders

  Scenario: A target crashes with requests in flight
    When target "ledger-bdg-a-1" crashes
    And 2 seconds pass
    Then requests are answered again
    And what must always hold has held

  Scenario: A target runs requests and loses their answers
    When target "ledger-bdg-a-1" drops the connection after running each request
    And 2 seconds pass
    Then some requests were told unknown
    And what must always hold has held

  Scenario: Open connections to a target go silent while new ones work
    When open connections to target "catalogue-bdg-a-1" go silent
    And 3 seconds pass
    Then requests are answered again
    And what must always hold has held

  Scenario: A target sheds everything
    When target "catalogue-bdg-a-1" sheds every request
    And 2 seconds pass
    Then requests are answered again
    And what must always hold has held

  Scenario: A target says that it is draining
    When target "catalogue-bdg-a-2" says that it drains
    And 4 seconds pass
    Then target "catalogue-bdg-a-2" got no new request in the last 2 seconds
    And no request was cut
    And what must always hold has held

  Scenario: An operator takes a target out by its label
    When target "ledger-smg-a-1" is labelled leaving
    And 4 seconds pass
    Then target "ledger-smg-a-1" got no new request in the last 2 seconds
    And no request was cut
    And what must always hold has held

  Scenario: An entry VM stops as planned
    When an entry VM stops as planned
    Then no request was cut
    And what must always hold has held

  Scenario: An entry VM is killed and a target crashes at the same time
    When an entry VM is killed
    And target "ledger-bdg-b-1" crashes
    And 2 seconds pass
    Then requests are answered again
    And what must always hold has held

  Scenario: A region is lost while the store is down
    When the store goes down
    And region "jatim" is lost
    And 4 seconds pass
    Then requests are answered again
    And what must always hold has held

  Scenario: The store loses the answer of a change
    When the store loses its next answer
    And target "catalogue-sby-a-1" is labelled leaving
    Then the operator was told that the change is in force
    And the label is in force on every entry VM
    And what must always hold has held
