package org.guavagw.gateway.internal.relay;

import com.codahale.metrics.Counter;
import com.google.common.base.Ticker;
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
  private final Ticker ticker;
  private final Map<CloseReason, Counter> counters = new EnumMap<>(CloseReason.class);

  UnansweredRequestLog(EventLog log, GatewayMetrics metrics, Ticker ticker) {
    this.log = log;
    this.ticker = ticker;
    for (CloseReason reason : CloseReason.values()) {
      counters.put(reason, metrics.registry().counter("requests_unanswered." + reason.wireName()));
    }
  }

  /**
   * Records a request.
   *
   * @param id its id, empty if its head has not been read
   * @param standing how far it was
   * @param headNanos monotonic time at which its head was read
   */
  void write(CloseReason reason, String id, Standing standing, long headNanos) {
    counters.get(reason).inc();
    EventLog.Line line =
        reason == CloseReason.CALLER
            ? log.event("request_unanswered")
            : log.failure("request_unanswered");
    line.with("id", id)
        .with("closed_by", reason.wireName())
        .with("standing", standing.wireName())
        .with("ms", TimeUnit.NANOSECONDS.toMillis(ticker.read() - headNanos))
        .write();
  }
}
