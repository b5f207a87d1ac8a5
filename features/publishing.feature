Feature: Operators publish service files
  Operators drive the system only by editing, reviewing and publishing files.
  What a majority of the control VMs has on disk is accepted for good.

  Background:
    Given three control VMs in three failure domains
    And the order desk and the artwork service are published as revision 1

  @promise:whole
  Scenario: One bad file keeps the whole set out
    When ana publishes revision 2 with a mistake in the artwork service
    Then ana is told the file, line, section and key of the mistake
    And every control VM holds revision 1 of the order desk and the artwork service

  @promise:references
  Scenario: A service that another one needs can't be taken away
    When ana publishes only the order desk as revision 2
    Then ana is told that a service does not exist
    And every control VM holds revision 1 of the order desk and the artwork service

  @promise:references
  Scenario: A leader refuses a dangling reference even if it is sent unchecked
    When ana sends revision 2 of only the order desk unchecked
    Then ana's publish is rejected
    And every control VM holds revision 1 of the order desk and the artwork service

  @promise:in-force @fault:race
  Scenario: Operators race one another with equal version numbers
    When ana and luis publish revisions 2 and 3 on the same version
    Then one of them is accepted and the other is told who won
    And every control VM holds the winner's revision

  @fault:race @together
  Scenario: Operators race while the leader is lost
    When ana and luis publish revisions 2 and 3 on the same version
    And the leader is lost before anyone is answered
    And ana and luis send the same publishes again
    Then one of them is accepted and the other is told who won
    And every control VM holds the winner's revision

  @fault:resend
  Scenario: An operator resends after losing the answer
    When ana publishes revision 2 and loses the answer
    And ana sends the same publish again
    Then ana is told the version of the first attempt
    And revision 2 was accepted once

  @fault:resend @fault:processes @together
  Scenario: The answer is lost with the leader, and again with the next one
    When ana publishes revision 2 and loses the answer
    And the leader is lost
    And ana sends the same publish again
    And the lost control VM returns
    And the leader is lost
    And ana sends the same publish again
    Then ana is told the version of the first attempt
    And revision 2 was accepted once

  @fault:resend @fault:race @together
  Scenario: A resend after somebody else has published does not undo it
    When ana publishes revision 2 and loses the answer
    And luis publishes revision 3
    And ana sends the same publish again
    Then ana is told the version of the first attempt
    And every control VM holds revision 3 of the order desk and the artwork service

  @fault:outage @promise:in-force
  Scenario: The publishing source has an outage
    Given two control VMs are lost
    When ana publishes revision 2 to the one that is left
    Then ana gets no answer
    When the lost control VMs return
    And ana sends the same publish again
    Then ana is accepted
    And every control VM holds revision 2 of the order desk and the artwork service

  @fault:outage @twice
  Scenario: All control VMs lose power, twice
    When all control VMs are lost and return
    And luis publishes revision 2
    And all control VMs are lost and return
    Then every control VM holds revision 2 of the order desk and the artwork service

  @fault:partition
  Scenario: A control VM is cut off while it believes it is current
    Given the leader is cut off from the other control VMs
    When ana publishes revision 2 to the one that is cut off
    And luis publishes revision 3 to the others
    Then ana gets no answer
    And luis is accepted
    When the partition ends
    Then every control VM holds revision 3 of the order desk and the artwork service
    And revision 2 was never accepted

  @fault:partition @twice
  Scenario: Two leaders are cut off, one after the other
    Given the leader is cut off from the other control VMs
    And luis publishes revision 2 to the others
    When the partition ends
    And the leader is cut off from the other control VMs
    And luis publishes revision 3 to the others
    And the partition ends
    Then every control VM holds revision 3 of the order desk and the artwork service

  @fault:second-loss @together
  Scenario: A second VM is lost right after the first was repaired
    When luis publishes revision 2
    And a follower is lost with its disk
    And a new control VM replaces it
    And another control VM is lost with its disk
    Then every control VM holds revision 2 of the order desk and the artwork service
    And luis publishes revision 3
    And a new control VM replaces it
    And every control VM holds revision 3 of the order desk and the artwork service
