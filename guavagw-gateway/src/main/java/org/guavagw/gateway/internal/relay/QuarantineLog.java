package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.quarantine.QuarantineListener;
import org.guavagw.gateway.model.BackendServer;

/** Writes the log lines on backend servers that ended and on what is held. Thread-safe. */
final class QuarantineLog implements QuarantineListener {
  private final EventLog log;

  QuarantineLog(EventLog log) {
    this.log = log;
  }

  /** A backend server ended while requests waited for their answers there. */
  void onServerEnded(BackendServer server, int waiting) {
    log.event("backend_ended")
        .with("backend", server.id())
        .with("service", server.service())
        .with("requests_waiting", waiting)
        .write();
  }

  @Override
  public void onRequestHeld(String fingerprint, Duration length) {
    log.event("request_held")
        .with("fingerprint", fingerprint)
        .with("reason", "backend servers ended while it waited there")
        .with("hold_ms", length.toMillis())
        .write();
  }

  @Override
  public void onRequestReleased(String fingerprint) {
    log.event("request_released")
        .with("fingerprint", fingerprint)
        .with("reason", "it was answered")
        .write();
  }

  @Override
  public void onPartHeld(String part, Duration untilTest) {
    log.event("prompt_part_held")
        .with("part", part)
        .with("reason", "backend servers ended under requests with it")
        .with("until_test_ms", untilTest.toMillis())
        .write();
  }

  @Override
  public void onPartReleased(String part) {
    log.event("prompt_part_released").with("part", part).write();
  }
}
