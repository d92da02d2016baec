package org.guavagw.cli.bench.control;

/** Scale of one round; all counts except data centres grow with the entries. Immutable. */
record BenchScale(int entries, int dataCentres) {
  private static final double BACKEND_SERVERS_PER_ENTRY = 830.0 / 350;
  private static final double TEAMS_PER_ENTRY = 100.0 / 350;

  int backendServers() {
    return (int) Math.round(entries * BACKEND_SERVERS_PER_ENTRY);
  }

  int teams() {
    return (int) Math.max(1, Math.round(entries * TEAMS_PER_ENTRY));
  }

  String dataCentre(int index) {
    return "dc-" + index % dataCentres;
  }

  String entryId(int index) {
    return dataCentre(index) + "-entry-" + index / dataCentres;
  }
}
