package org.guavagw.cli.bench.load;

import java.util.List;
import java.util.stream.IntStream;
import org.guavagw.cli.bench.load.CallerLog.CompletedRequest;

/** Calculates time series by arrival time. Stateless. */
final class TimeSeries {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int STEP_S = 5;

  private TimeSeries() {}

  static double[] times(int durationSeconds) {
    return IntStream.range(0, durationSeconds / STEP_S).mapToDouble(i -> i * STEP_S).toArray();
  }

  /** Returns the p99 latency in seconds per time step; 0 for a step without requests. */
  static double[] p99Seconds(List<CompletedRequest> requests, double[] times) {
    double[] p99 = new double[times.length];
    for (int i = 0; i < times.length; i++) {
      double p = CallerLog.p99Seconds(arrivedIn(requests, times[i]));
      p99[i] = Double.isNaN(p) ? 0 : p;
    }
    return p99;
  }

  /** Returns the requests answered in time per second, for each time step. */
  static double[] servedPerSecond(List<CompletedRequest> requests, double[] times) {
    double[] served = new double[times.length];
    for (int i = 0; i < times.length; i++) {
      served[i] =
          (double) arrivedIn(requests, times[i]).stream().filter(CompletedRequest::inTime).count()
              / STEP_S;
    }
    return served;
  }

  private static List<CompletedRequest> arrivedIn(
      List<CompletedRequest> requests, double fromSeconds) {
    double from = fromSeconds * NANOS_PER_SECOND;
    double to = (fromSeconds + STEP_S) * NANOS_PER_SECOND;
    return requests.stream()
        .filter(e -> e.request().arrivedNanos() >= from && e.request().arrivedNanos() < to)
        .toList();
  }
}
