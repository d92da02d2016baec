package org.guavagw.cli.ctl;

/** What an operator is told about a failure: what happened, why, and what to do. Immutable. */
record Message(ExitCode exit, String happened, String why, String remedy) {
  @Override
  public String toString() {
    return happened + ": " + why + "\n  to do: " + remedy;
  }
}
