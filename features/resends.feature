Feature: A caller resends after losing an answer
  A caller that gives its request an Idempotency-Key may send it again through
  any proxy. It is answered, or refused, but never runs a second time.

  Background:
    Given 5 proxies that keep claims on Idempotency-Keys

  @fault:resend @promise:at-most-once
  Scenario: A confirmation is resent after it was answered
    When a confirmation is sent with a key and answered
    And it is sent again through another proxy
    Then the resend gets the first answer
    And the resend did not run

  @fault:resend @twice @promise:at-most-once
  Scenario: A confirmation is resent twice while it still runs
    When a confirmation is sent with a key
    And it is sent again through another proxy
    And it is sent again through another proxy
    And the first attempt is answered
    Then every resend gets the first answer
    And no resend ran

  @fault:resend @fault:processes @together @promise:at-most-once
  Scenario: A confirmation is resent after a proxy that held its claim died
    When a confirmation is sent with a key and answered
    And a proxy that holds its claim dies and comes back with an empty memory
    And it is sent again through another proxy
    Then the resend gets the first answer
    And the resend did not run

  @fault:resend @fault:partition @together @promise:not-run
  Scenario: A confirmation is resent where the claims can't be reached
    When a confirmation is sent with a key and answered
    And most proxies that hold its claim are cut off
    And it is sent again through a proxy that is not
    Then the resend did not run
    And its caller is not told that it did not run

  @fault:resend @promise:not-run
  Scenario: Another request bears a key that was used before
    When a confirmation is sent with a key and answered
    And another confirmation is sent with the same key
    Then it is refused as not run
