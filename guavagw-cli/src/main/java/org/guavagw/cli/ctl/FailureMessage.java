package org.guavagw.cli.ctl;

/** Message to an operator about a failure: what happened, why, and how to fix it. Immutable. */
record FailureMessage(ExitCode exit, String happened, String why, String remedy) {
  @Override
  public String toString() {
    return happened + ": " + why + "\n  to do: " + remedy;
  }
}
