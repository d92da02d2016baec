package org.guavagw.internal.http;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Formats metrics in the Prometheus text format. Stateless. */
public final class PrometheusTextFormat {
  private static final String PREFIX = "guavagw_";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private PrometheusTextFormat() {}

  /** Returns all metrics of a registry as text. */
  public static String format(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Metric> metric : registry.getMetrics().entrySet()) {
      appendMetric(
          text, PREFIX + metric.getKey().replaceAll("[^A-Za-z0-9_]", "_"), metric.getValue());
    }
    return text.toString();
  }

  private static void appendMetric(StringBuilder text, String name, Metric metric) {
    if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
      appendLine(text, name, number.doubleValue());
    }
    if (metric instanceof Counting counting) {
      appendLine(text, name + "_total", (double) counting.getCount());
    }
    if (metric instanceof Sampling sampling) {
      Snapshot snapshot = sampling.getSnapshot();
      appendLine(
          text, name + "_seconds{quantile=\"0.5\"}", snapshot.getMedian() / NANOS_PER_SECOND);
      appendLine(
          text,
          name + "_seconds{quantile=\"0.99\"}",
          snapshot.get99thPercentile() / NANOS_PER_SECOND);
    }
  }

  private static void appendLine(StringBuilder text, String name, double value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
