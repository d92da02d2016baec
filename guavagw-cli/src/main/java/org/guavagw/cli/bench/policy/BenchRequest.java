package org.guavagw.cli.bench.policy;

/**
 * A generated request. Immutable.
 *
 * @param id rises with the time of arrival
 * @param difficulty how hard the request is for every model; 0 is average
 */
record BenchRequest(
    long id,
    double atSeconds,
    int team,
    String stickyKey,
    TaskMix taskClass,
    int inputTokens,
    int outputTokens,
    double difficulty) {
  private static final String TEAM_PREFIX = "team-";

  String teamId() {
    return TEAM_PREFIX + team;
  }
}
