package org.guavagw.cli.bench;

/** Traffic and faults in virtual time, run with guavagw's policy and baselines. Thread-safe. */
public interface Scenario {
  /** Returns the name on command lines and in reports. */
  String name();

  /** Runs every policy with the same random numbers; the report depends only on the arguments. */
  ScenarioReport run(Deployment deployment, long seed);
}
