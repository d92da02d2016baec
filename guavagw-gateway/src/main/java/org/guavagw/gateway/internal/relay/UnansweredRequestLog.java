package org.guavagw.gateway.internal.relay;

import com.codahale.metrics.Counter;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.memory.Standing;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;

/**
 * Logs and counts requests whose connection closed before their answer was complete. Thread-safe.
 */
final class UnansweredRequestLog {
  private final EventLog log;
  private final Map<CloseReason, Counter> counters = new EnumMap<>(CloseReason.class);

  UnansweredRequestLog(EventLog log, GatewayMetrics metrics) {
    this.log = log;
    for (CloseReason reason : CloseReason.values()) {
      counters.put(reason, metrics.registry().counter("requests_unanswered." + reason.wireName()));
    }
  }

  /**
   * Records a request.
   *
   * @param id its id, empty if its head has not been read
   * @param standing how far it was
   * @param nanos time since its head was read
   */
  void write(CloseReason reason, String id, Standing standing, long nanos) {
    counters.get(reason).inc();
    EventLog.Line line =
        reason == CloseReason.CALLER
            ? log.event("request_unanswered")
            : log.failure("request_unanswered");
    line.with("id", id)
        .with("closed_by", reason.wireName())
        .with("standing", standing.wireName())
        .with("ms", TimeUnit.NANOSECONDS.toMillis(nanos))
        .write();
  }
}
