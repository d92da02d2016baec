package org.guavagw.cli.bench.load;

import java.util.List;
import java.util.stream.IntStream;
import org.guavagw.cli.bench.load.CallerLog.Ended;

/** Figures over time, by time of arrival. Stateless. */
final class TimeSeries {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int STEP_S = 5;

  private TimeSeries() {}

  static double[] times(int durationSeconds) {
    return IntStream.range(0, durationSeconds / STEP_S).mapToDouble(i -> i * STEP_S).toArray();
  }

  /** The 99th percentile of latency in each step; 0 where nothing was answered. */
  static double[] p99Seconds(List<Ended> ends, double[] times) {
    double[] p99 = new double[times.length];
    for (int i = 0; i < times.length; i++) {
      double p = CallerLog.p99Seconds(arrivedIn(ends, times[i]));
      p99[i] = Double.isNaN(p) ? 0 : p;
    }
    return p99;
  }

  /** Requests answered in time in each step, per second. */
  static double[] servedPerSecond(List<Ended> ends, double[] times) {
    double[] served = new double[times.length];
    for (int i = 0; i < times.length; i++) {
      served[i] =
          (double) arrivedIn(ends, times[i]).stream().filter(Ended::inTime).count() / STEP_S;
    }
    return served;
  }

  private static List<Ended> arrivedIn(List<Ended> ends, double fromSeconds) {
    double from = fromSeconds * NANOS_PER_SECOND;
    double to = (fromSeconds + STEP_S) * NANOS_PER_SECOND;
    return ends.stream()
        .filter(e -> e.request().arrivedNanos() >= from && e.request().arrivedNanos() < to)
        .toList();
  }
}
