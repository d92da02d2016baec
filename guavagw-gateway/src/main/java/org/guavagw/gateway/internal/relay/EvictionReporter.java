package org.guavagw.gateway.internal.relay;

import com.codahale.metrics.Counter;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.memory.EvictionListener;
import org.guavagw.gateway.internal.memory.EvictionReason;
import org.guavagw.gateway.internal.memory.Standing;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;

/** Logs and counts connections that were given up. Thread-safe. */
final class EvictionReporter implements EvictionListener {
  private final EventLog log;
  private final Map<EvictionReason, Counter> counters = new EnumMap<>(EvictionReason.class);

  EvictionReporter(EventLog log, GatewayMetrics metrics) {
    this.log = log;
    for (EvictionReason reason : EvictionReason.values()) {
      String name = "connections_evicted." + reason.name().toLowerCase(Locale.ROOT);
      counters.put(reason, metrics.registry().counter(name));
    }
  }

  @Override
  public void onEvicted(EvictionReason reason, Standing standing, long bytes, long totalBytes) {
    counters.get(reason).inc();
    log.event("connection_evicted")
        .with("reason", reason.name().toLowerCase(Locale.ROOT))
        .with("standing", standing.wireName())
        .with("bytes", bytes)
        .with("total_bytes", totalBytes)
        .write();
  }
}
