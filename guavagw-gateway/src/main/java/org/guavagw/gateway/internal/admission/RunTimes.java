package org.guavagw.gateway.internal.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Smoothed durations of the requests of each route, measured from their start. Routes that were not
 * used for the longest time are forgotten beyond a bound. Traffic thread only.
 */
final class RunTimes {
  private static final int MAX_ROUTES = 1024;

  /** Weight of the newest sample. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private final Map<String, Means> byRoute =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Means> eldest) {
          return size() > MAX_ROUTES;
        }
      };

  /** Records the time from the start of a request to the begin of its answer. */
  void onFirstAnswer(String route, long nanos) {
    Means means = byRoute.computeIfAbsent(route, r -> new Means());
    means.firstAnswer = smooth(means.firstAnswer, nanos);
  }

  /** Records the time from the start of a request to its end. */
  void onEnded(String route, long nanos) {
    Means means = byRoute.computeIfAbsent(route, r -> new Means());
    means.run = smooth(means.run, nanos);
  }

  /** Returns the expected time from a start to the begin of the answer; 0 if unknown. */
  long firstAnswerNanos(String route) {
    Means means = byRoute.get(route);
    return means == null ? 0 : (long) means.firstAnswer;
  }

  /** Returns the expected time from a start to the end; 0 if unknown. */
  long runNanos(String route) {
    Means means = byRoute.get(route);
    return means == null ? 0 : (long) means.run;
  }

  private static double smooth(double mean, long sample) {
    return mean == 0 ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
  }

  /** Means of one route in nanoseconds; 0 before the first sample. */
  private static final class Means {
    private double firstAnswer;
    private double run;
  }
}
