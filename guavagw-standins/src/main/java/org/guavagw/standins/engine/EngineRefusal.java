package org.guavagw.standins.engine;

import java.util.Locale;

/** Why an engine did not run a request; it says so with each of these. */
enum EngineRefusal {
  VERSION_NOT_LOADED(409),
  RESUME_UNKNOWN(409),
  COLD_SLOTS_TAKEN(503),
  QUEUE_FULL(503),
  DRAINING(503),
  DEADLINE_PASSED(503),
  UNAVAILABLE(503);

  private final int status;

  EngineRefusal(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }

  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
