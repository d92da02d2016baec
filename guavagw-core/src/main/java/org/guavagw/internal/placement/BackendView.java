package org.guavagw.internal.placement;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.CircuitBreaker;
import org.guavagw.internal.limits.ConcurrencyLimiter;

/**
 * This entry's view of one backend server.
 *
 * <p>Invariant: the backend server counts as warm only while there is recent evidence from its
 * current boot. Thread-safe.
 */
final class BackendView {
  private static final long WARM_EXPIRY_NANOS = Duration.ofSeconds(10).toNanos();
  private static final long REPORT_EXPIRY_NANOS = Duration.ofSeconds(10).toNanos();
  private static final int INITIAL_LIMIT = 16;
  private static final int MAX_LIMIT = 256;
  private static final double LATENCY_WEIGHT = 0.1;
  private static final double OWN_REQUEST_WEIGHT = 8;

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

  synchronized void onFinished(AttemptOutcome outcome, long nowNanos) {
    inFlight = Math.max(0, inFlight - 1);
    limiter.onFinished(outcome);
    circuit.onFinished(outcome.kind(), nowNanos);
    switch (outcome.kind()) {
      case COMPLETED -> updateLatency(outcome.firstByteNanos());
      case FAILED, UNREACHABLE -> warm = false;
      default -> {
        // does not tell whether the engine is warm
      }
    }
  }

  private void updateLatency(long firstByteNanos) {
    double sample = (double) firstByteNanos;
    latencyNanos += latencyNanos == 0 ? sample : LATENCY_WEIGHT * (sample - latencyNanos);
  }

  /**
   * Stores a report unless it is older than the stored one. Returns whether it is the first of
   * another boot.
   */
  synchronized boolean onLoadReport(LoadReport next) {
    if (report != null && next.receivedNanos() - report.receivedNanos() < 0) {
      return false;
    }
    report = next;
    inFlightAtReport = inFlight;
    return onBootState(next.bootId(), next.cold(), next.receivedNanos());
  }

  /** Updates the boot and its state. Returns whether the boot differs from the previous one. */
  synchronized boolean onBootState(String boot, boolean cold, long nowNanos) {
    boolean changed = !bootId.equals(boot);
    bootId = boot;
    warm = !cold;
    warmNanos = nowNanos;
    return changed;
  }

  synchronized boolean isWarm(long nowNanos) {
    return warm && nowNanos - warmNanos < WARM_EXPIRY_NANOS;
  }

  synchronized boolean isLoaded(VersionRef ref) {
    List<VersionRef> loaded = report == null ? List.of() : report.versions();
    return loaded.isEmpty() || loaded.contains(ref);
  }

  synchronized int inFlight() {
    return inFlight;
  }

  /** Returns the estimated number of requests at the backend server, from all entries. */
  synchronized double estimatedRequests(long nowNanos) {
    return inFlight + requestsOfOtherEntries(nowNanos);
  }

  /**
   * Returns the estimated number of requests with this entry's own requests counted several times.
   * Own requests are known without delay and indicate how many requests other entries, which choose
   * alike, have sent since the last report.
   */
  synchronized double weightedRequests(long nowNanos) {
    return OWN_REQUEST_WEIGHT * inFlight + requestsOfOtherEntries(nowNanos);
  }

  /**
   * Returns the number of requests in the last recent report, or of this entry's own requests if
   * there is none.
   */
  synchronized double reportedRequests(long nowNanos) {
    return hasRecentReport(nowNanos) ? report.running() + report.waiting() : inFlight;
  }

  /**
   * Returns the number of this entry's own requests when the last recent report arrived, or now if
   * there is none.
   */
  synchronized int inFlightAtReport(long nowNanos) {
    return hasRecentReport(nowNanos) ? inFlightAtReport : inFlight;
  }

  synchronized double latencyNanos() {
    return latencyNanos;
  }

  private boolean hasRecentReport(long nowNanos) {
    return report != null && nowNanos - report.receivedNanos() <= REPORT_EXPIRY_NANOS;
  }

  private double requestsOfOtherEntries(long nowNanos) {
    return Math.max(0, reportedRequests(nowNanos) - inFlightAtReport(nowNanos));
  }
}
