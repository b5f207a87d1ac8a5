Feature: Every proxy routes by the accepted configuration
  Proxies are many, restart in herds and hear of changes late, crossed or not
  at all. After every scenario it is checked for every version that any proxy
  ever held: it is newer than the one before, it is whole, and nothing in it
  points at a service, proxy or backend server that it lacks.

  Background:
    Given 8 proxies in each of three failure domains
    And the order desk and the artwork service are in force on every proxy

  @promise:in-force
  Scenario: An accepted configuration is in force on every proxy within seconds
    When the booking service is added
    Then it is in force on every proxy within 2 seconds

  @promise:in-force @promise:no-step-back
  Scenario: What is in force stays in force
    When the booking service is added
    And 20 seconds pass
    Then every proxy holds the booking service

  @promise:no-step-back @fault:processes
  Scenario: A proxy that restarts never shows an older version
    When 3 proxies die and come back with an empty memory
    And the booking service is added
    Then it is in force on every proxy within 10 seconds

  @fault:herd @fault:storm
  Scenario: All proxies of a failure domain die at once and reconnect at once
    When every proxy of domain a dies
    And 3 seconds pass
    And every proxy of domain a comes back at once
    And the booking service is added
    Then it is in force on every proxy within 15 seconds
    And the herd cost less than 12 versions

  @fault:herd @fault:storm @twice
  Scenario: The whole fleet dies and comes back, twice
    When every proxy dies and comes back at once
    And every proxy dies and comes back at once
    And the booking service is added
    Then it is in force on every proxy within 30 seconds

  @fault:outage
  Scenario: The publishing source has an outage
    When no proxy can reach a control VM for 30 seconds
    Then every proxy still holds the artwork service
    When the control VMs can be reached again
    And the booking service is added
    Then it is in force on every proxy within 30 seconds

  @fault:outage @fault:herd @together
  Scenario: Proxies restart during an outage of the publishing source
    When no proxy can reach a control VM for 10 seconds
    And every proxy of domain b dies
    And every proxy of domain b comes back at once
    And 5 seconds pass
    And the control VMs can be reached again
    And the booking service is added
    Then it is in force on every proxy within 30 seconds

  @fault:crossing @promise:whole
  Scenario: Updates cross each other in flight
    When every message to the proxies is held back
    And the booking service is added
    And the batch service is added
    And the held messages arrive in reverse order
    Then it is in force on every proxy within 10 seconds

  @fault:crossing @promise:no-step-back
  Scenario: A whole older configuration arrives late
    When the booking service is added
    Then it is in force on every proxy within 2 seconds
    When the configuration of before arrives at every proxy
    Then every proxy still holds the booking service

  @fault:crossing @twice
  Scenario: Every message arrives twice
    When every message arrives twice from now on
    And the booking service is added
    And the batch service is added
    Then it is in force on every proxy within 5 seconds

  @promise:whole
  Scenario: A damaged update is not applied, in whole or in part
    When messages to the proxies are damaged for 5 seconds
    And the booking service is added
    Then no proxy holds a part of it
    When messages are whole again
    Then it is in force on every proxy within 30 seconds

  @fault:partition
  Scenario: A control VM is cut off while proxies still hear it
    When a control VM is cut off from the others but not from the proxies
    And the booking service is added
    Then it is in force on every proxy within 15 seconds

  @fault:partition @fault:herd @together
  Scenario: Proxies restart while a control VM is cut off
    When a control VM is cut off from the others but not from the proxies
    And the booking service is added
    And every proxy of domain c dies
    And every proxy of domain c comes back at once
    Then it is in force on every proxy within 30 seconds

  @fault:late-return
  Scenario: A proxy restarts after hundreds of changes have passed it by
    When a proxy dies
    And 200 publications are accepted
    And that proxy comes back
    Then it is in force on every proxy within 15 seconds

  @fault:late-return @fault:partition @together
  Scenario: A failure domain is cut off for hundreds of changes
    When domain b is cut off from everything else
    And 200 publications are accepted
    And the partition of domain b ends
    Then it is in force on every proxy within 30 seconds

  @promise:leaving
  Scenario: A leaving backend server is out of every table within seconds
    Given every proxy has a backend server of the order desk
    When the backend server of a proxy is leaving
    Then no proxy sends it new work after 3 seconds

  @promise:references @fault:processes
  Scenario: Backend servers come and go constantly
    Given every proxy has a backend server of the order desk
    When 6 proxies die and come back with an empty memory
    And the backend server of a proxy is leaving
    And 10 seconds pass
    Then every table points only at backend servers that it holds

  @promise:references @fault:processes
  Scenario: A proxy dies for good, and its backend server with it
    Given every proxy has a backend server of the order desk
    When a proxy dies
    And 15 seconds pass
    Then no table has that proxy or its backend server
