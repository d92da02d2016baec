package org.guavagw.internal.peer;

import com.codahale.metrics.MetricRegistry;

/** Counts frames and bytes by type of message and direction. Thread-safe. */
final class PeerTraffic {
  private final MetricRegistry metrics;

  PeerTraffic(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void sent(PeerFrame frame, int bytes) {
    count("sent", frame, bytes);
  }

  void received(PeerFrame frame, int bytes) {
    count("received", frame, bytes);
  }

  /** Counts an event that is worth a look, such as a replaced connection. */
  void event(String name) {
    metrics.counter(MetricRegistry.name("peer", name)).inc();
  }

  private void count(String direction, PeerFrame frame, int bytes) {
    String type = label(frame);
    metrics.counter(MetricRegistry.name("peer", direction, "messages", type)).inc();
    metrics.counter(MetricRegistry.name("peer", direction, "bytes", type)).inc(bytes);
  }

  private static String label(PeerFrame frame) {
    return switch (frame.kind()) {
      case MESSAGE, REQUEST, ANSWER -> frame.name();
      default -> "connection";
    };
  }
}
