package org.guavagw.internal.peer;

import com.codahale.metrics.MetricRegistry;

/** Counts frames and bytes by message type and direction. Thread-safe. */
final class PeerMetrics {
  private final MetricRegistry metrics;

  PeerMetrics(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void countSent(PeerFrame frame, int bytes) {
    count("sent", frame, bytes);
  }

  void countReceived(PeerFrame frame, int bytes) {
    count("received", frame, bytes);
  }

  /** Counts an event by its name, such as a replaced connection. */
  void countEvent(String name) {
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
