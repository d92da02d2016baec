package org.guavagw.cli.bench.load;

/** The routers that are compared. */
enum RouterKind {
  GUAVAGW("guavagw"),
  RANDOM("random"),
  ROUND_ROBIN("round-robin"),
  LEAST_CONNECTIONS("least-connections-stale");

  private final String label;

  RouterKind(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
