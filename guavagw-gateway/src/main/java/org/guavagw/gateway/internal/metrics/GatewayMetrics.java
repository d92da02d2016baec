package org.guavagw.gateway.internal.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.guavagw.internal.http.PrometheusTextFormat;

/** Records the metrics of the gateway. Thread-safe. */
public final class GatewayMetrics {
  private final MetricRegistry registry = new MetricRegistry();
  private final Counter ignoredWorkReports = registry.counter("work_reports_ignored");
  private final Timer laterThanExpected = registry.timer("placement.first_event_later");
  private final Timer earlierThanExpected = registry.timer("placement.first_event_earlier");
  private final Counter forwardedRequests = registry.counter("requests_forwarded");

  /** Returns the registry with all metrics. */
  public MetricRegistry registry() {
    return registry;
  }

  /** Counts a completed request and records its latency. */
  public void onRequest(String kind, int status, long millis) {
    String name = "requests." + kind.toLowerCase(Locale.ROOT);
    registry.counter(name + ".status_" + status).inc();
    registry.timer(name + ".latency").update(millis, TimeUnit.MILLISECONDS);
  }

  /** Counts a request that was refused before it was served. */
  public void onRefused(String code) {
    registry.counter("refusals." + code).inc();
  }

  /** Counts an attempt that failed. */
  public void onAttemptFailed(String failure) {
    registry.counter("attempts_failed." + failure.toLowerCase(Locale.ROOT)).inc();
  }

  /** Counts a request that was forwarded to another entry. */
  public void onForwarded() {
    forwardedRequests.inc();
  }

  /** Counts an attempt by what decided where it was sent. */
  public void onPlaced(String reason) {
    registry.counter("placements." + reason).inc();
  }

  /** Records how far the time to the first event was from what placement expected. */
  public void onFirstEvent(long expectedMillis, long measuredMillis) {
    long error = measuredMillis - expectedMillis;
    (error < 0 ? earlierThanExpected : laterThanExpected)
        .update(Math.abs(error), TimeUnit.MILLISECONDS);
  }

  /** Counts a call to the store. */
  public void onStoreCall(String call, String result) {
    registry.counter("store_calls." + call + "." + result).inc();
  }

  /** Counts a call to the store by table and cause. */
  public void onStoreCallOf(String table, String cause, String result) {
    registry.counter("store_calls_for." + table + "." + cause + "." + result).inc();
  }

  /** Counts a work report of another entry that cannot be true. */
  public void onImplausibleReport() {
    ignoredWorkReports.inc();
  }

  /** Registers a gauge that reads its value from a supplier. */
  public void gauge(String name, Supplier<? extends Number> value) {
    Gauge<Number> gauge = value::get;
    registry.register(name, gauge);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    return PrometheusTextFormat.format(registry);
  }
}
