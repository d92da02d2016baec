package org.guavagw.internal.http;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Writes metrics in the text format that scrapers read. Stateless. */
public final class MetricsText {
  private static final String PREFIX = "guavagw_";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private MetricsText() {}

  /** All metrics of a registry. */
  public static String of(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Metric> metric : registry.getMetrics().entrySet()) {
      append(text, PREFIX + metric.getKey().replaceAll("[^A-Za-z0-9_]", "_"), metric.getValue());
    }
    return text.toString();
  }

  private static void append(StringBuilder text, String name, Metric metric) {
    if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
      line(text, name, number.doubleValue());
    }
    if (metric instanceof Counting counting) {
      line(text, name + "_total", (double) counting.getCount());
    }
    if (metric instanceof Sampling sampling) {
      Snapshot snapshot = sampling.getSnapshot();
      line(text, name + "_seconds{quantile=\"0.5\"}", snapshot.getMedian() / NANOS_PER_SECOND);
      line(
          text,
          name + "_seconds{quantile=\"0.99\"}",
          snapshot.get99thPercentile() / NANOS_PER_SECOND);
    }
  }

  private static void line(StringBuilder text, String name, double value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
