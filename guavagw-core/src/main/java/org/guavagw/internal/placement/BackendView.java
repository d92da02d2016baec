package org.guavagw.internal.placement;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.limits.CircuitBreaker;
import org.guavagw.internal.limits.ConcurrencyLimiter;
import org.guavagw.internal.limits.Outcome;

/**
 * What this entry knows about one backend server.
 *
 * <p>Invariant: it counts as warm only while evidence of the same boot is recent. Thread-safe.
 */
final class BackendView {
  private static final long WARM_EVIDENCE_NANOS = Duration.ofSeconds(10).toNanos();
  private static final long REPORT_EXPIRY_NANOS = Duration.ofSeconds(10).toNanos();
  private static final int INITIAL_LIMIT = 16;
  private static final int MAX_LIMIT = 256;
  private static final double LATENCY_WEIGHT = 0.1;
  private static final double OWN_WEIGHT = 8;

  private final CircuitBreaker circuit = new CircuitBreaker();
  private final ConcurrencyLimiter limiter = new ConcurrencyLimiter(INITIAL_LIMIT, MAX_LIMIT);
  private int inFlight;
  private LoadReport report;
  private int inFlightAtReport;
  private String bootId = "";
  private boolean warm;
  private long warmNanos;
  private double latencyNanos;

  CircuitBreaker circuit() {
    return circuit;
  }

  ConcurrencyLimiter limiter() {
    return limiter;
  }

  synchronized void onDispatched(long nowNanos) {
    inFlight++;
    limiter.onDispatched();
    circuit.onDispatched(nowNanos);
  }

  synchronized void onFinished(Outcome outcome, long nowNanos) {
    inFlight = Math.max(0, inFlight - 1);
    limiter.onFinished(outcome);
    circuit.onFinished(outcome.kind(), nowNanos);
    switch (outcome.kind()) {
      case COMPLETED -> learnLatency(outcome.firstByteNanos());
      case FAILED, UNREACHABLE -> warm = false;
      default -> {
        // says nothing about the engine's state
      }
    }
  }

  private void learnLatency(long firstByteNanos) {
    double sample = (double) firstByteNanos;
    latencyNanos += latencyNanos == 0 ? sample : LATENCY_WEIGHT * (sample - latencyNanos);
  }

  /** Takes a report unless a newer one was taken; says whether it is of another boot. */
  synchronized boolean onLoadReport(LoadReport next) {
    if (report != null && next.receivedNanos() - report.receivedNanos() < 0) {
      return false;
    }
    report = next;
    inFlightAtReport = inFlight;
    return onBootEvidence(next.bootId(), next.cold(), next.receivedNanos());
  }

  /** Learns the state of a boot and says whether it is another boot than before. */
  synchronized boolean onBootEvidence(String boot, boolean cold, long nowNanos) {
    boolean other = !bootId.equals(boot);
    bootId = boot;
    warm = !cold;
    warmNanos = nowNanos;
    return other;
  }

  synchronized boolean isWarm(long nowNanos) {
    return warm && nowNanos - warmNanos < WARM_EVIDENCE_NANOS;
  }

  synchronized boolean isLoaded(VersionRef ref) {
    List<VersionRef> loaded = report == null ? List.of() : report.versions();
    return loaded.isEmpty() || loaded.contains(ref);
  }

  synchronized int inFlight() {
    return inFlight;
  }

  /** Estimated requests at the backend server now, from all entries. */
  synchronized double estimatedRequests(long nowNanos) {
    return inFlight + othersRequests(nowNanos);
  }

  /**
   * Estimated requests with this entry's own counted several times: they are known without delay
   * and show what other entries, which choose alike, have sent since the last report.
   */
  synchronized double rankedRequests(long nowNanos) {
    return OWN_WEIGHT * inFlight + othersRequests(nowNanos);
  }

  /** Requests in the last recent report, or this entry's own where there is none. */
  synchronized double reportedRequests(long nowNanos) {
    return hasRecentReport(nowNanos) ? report.running() + report.waiting() : inFlight;
  }

  /** This entry's own requests when the last recent report came, or now where there is none. */
  synchronized int inFlightAtReport(long nowNanos) {
    return hasRecentReport(nowNanos) ? inFlightAtReport : inFlight;
  }

  synchronized double latencyNanos() {
    return latencyNanos;
  }

  private boolean hasRecentReport(long nowNanos) {
    return report != null && nowNanos - report.receivedNanos() <= REPORT_EXPIRY_NANOS;
  }

  private double othersRequests(long nowNanos) {
    return Math.max(0, reportedRequests(nowNanos) - inFlightAtReport(nowNanos));
  }
}
