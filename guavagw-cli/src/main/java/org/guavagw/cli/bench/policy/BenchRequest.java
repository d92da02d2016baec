package org.guavagw.cli.bench.policy;

/**
 * A generated request. Immutable.
 *
 * @param id index of the request in arrival order
 * @param difficulty difficulty for all models; 0 is average
 */
record BenchRequest(
    long id,
    double atSeconds,
    int team,
    String stickyKey,
    TaskClassProfile taskClass,
    int inputTokens,
    int outputTokens,
    double difficulty) {
  private static final String TEAM_PREFIX = "team-";

  String teamId() {
    return TEAM_PREFIX + team;
  }
}
