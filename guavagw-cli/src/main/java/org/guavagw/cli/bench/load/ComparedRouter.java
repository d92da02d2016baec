package org.guavagw.cli.bench.load;

/** Routers that the load scenarios compare. */
enum ComparedRouter {
  GUAVAGW("guavagw"),
  RANDOM("random"),
  ROUND_ROBIN("round-robin"),
  LEAST_CONNECTIONS("least-connections-stale");

  private final String label;

  ComparedRouter(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
