Feature: Every caller gets the whole answer to its own request
  After every scenario it is checked that no caller was told anything twice,
  that none got another's answer, that what was told as not run did not run,
  and that no non-idempotent request ran twice.

  Background:
    Given 3 backend servers with 2 slots each

  @promise:own-answer
  Scenario: Answers come in another order than the requests
    When the confirmations A, B and C are sent
    And the backend servers answer B, A and C
    Then A, B and C each get the answer to their own request

  @promise:own-answer @fault:crossing
  Scenario: An answer arrives after its caller was told
    When the confirmation A is sent with 1 second of time
    And 2 seconds go by
    Then the caller of A is told that it may have run
    When the backend servers answer A
    And the confirmation B is sent
    And the backend servers answer B
    Then B gets the answer to its own request

  @promise:not-run
  Scenario: There is no room anywhere
    When 12 confirmations fill every slot and every queue
    And the confirmation A is sent
    Then the caller of A is told that it did not run
    And A did not run

  @promise:at-most-once @fault:processes
  Scenario: A backend server dies while it runs a confirmation
    When the confirmation A is sent
    And the backend server that runs A dies
    Then the caller of A is told that it may have run
    And A ran once

  @promise:at-most-once @fault:processes
  Scenario: A backend server dies while it runs a proof check
    When the proof check A is sent
    And the backend server that runs A dies
    And the backend servers answer A
    Then A gets the answer to its own request

  @fault:processes @twice
  Scenario: Two backend servers die on the same proof check
    When the proof check A is sent
    And the backend server that runs A dies
    And the backend server that runs A dies
    Then the caller of A is told that it may have run
    And A ran 2 times

  @promise:not-run @fault:processes
  Scenario: Requests that wait when their backend server dies go elsewhere
    When 2 confirmations run on the first backend server
    And the confirmation A waits there
    And the first backend server dies
    And the backend servers answer A
    Then A gets the answer to its own request
    And A ran once

  @promise:leaving
  Scenario: A leaving backend server gets no new work
    When the first backend server is leaving
    And the confirmation A is sent
    Then A runs on another backend server
    And A ran once

  @promise:graceful
  Scenario: A planned stop cuts no request in progress
    When the confirmation A is sent
    And the first backend server is leaving
    Then it may not stop yet
    When the backend servers answer A
    Then A gets the answer to its own request
    And it may stop now

  @promise:graceful @promise:leaving @twice
  Scenario: All backend servers are replaced, one after the other
    When the confirmation A is sent
    And the first backend server is leaving
    And the confirmation B is sent
    And the second backend server is leaving
    And the confirmation C is sent
    And the backend servers answer A, B and C
    Then A, B and C each get the answer to their own request
    And A, B and C ran once each

  @promise:graceful @fault:processes @together
  Scenario: One backend server leaves while another one dies
    When the first backend server is leaving
    And the confirmation A is sent
    And the backend server that runs A dies
    Then the caller of A is told that it may have run
    And A ran once

  @promise:graceful
  Scenario: The configuration changes under a request
    When the first backend server is leaving
    And the proof check A is sent
    Then A was first sent by the version it came with and then by the newest
    When the backend servers answer A
    Then A gets the answer to its own request

  @fault:poison
  Scenario: A request crashes each backend server that runs it
    When a proof check that crashes them is sent 10 times by its caller
    Then no more than 2 backend servers died
    And its last senders are told that it did not run
    When the confirmation B is sent
    And the backend servers answer B
    Then B gets the answer to its own request

  @fault:poison @promise:graceful @together
  Scenario: A crashing request comes while a backend server is leaving
    When the confirmation A is sent
    And the first backend server is leaving
    And a proof check that crashes them is sent 10 times by its caller
    And the backend servers answer A
    Then A gets the answer to its own request
    And no more than 2 backend servers died
