package org.guavagw.standins.engine;

import java.util.List;

/** State and load that an engine reports. Immutable. */
record LoadReport(
    String bootId,
    String state,
    int running,
    int waiting,
    int slots,
    List<String> versions,
    List<String> adapters,
    String role) {
  String header() {
    return running + "/" + waiting + "/" + slots;
  }
}
