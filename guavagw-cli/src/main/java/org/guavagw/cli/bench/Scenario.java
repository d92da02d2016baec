package org.guavagw.cli.bench;

/** Traffic and faults in virtual time, run with our policy and the baselines. Thread-safe. */
public interface Scenario {
  /** The name on command lines and in reports. */
  String name();

  /** Runs every policy on the same random numbers; the same seed gives the same report. */
  ScenarioReport run(Deployment deployment, long seed);
}
