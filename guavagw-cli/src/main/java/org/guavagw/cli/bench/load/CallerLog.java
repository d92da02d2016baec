package org.guavagw.cli.bench.load;

import com.google.common.math.Quantiles;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import org.guavagw.internal.limits.RequestClass;

/** What callers saw: each request once, with its end. Not thread-safe. */
final class CallerLog {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int P99 = 99;

  private final List<Ended> ended = new ArrayList<>();
  private final Map<Long, SimRequest> open = new HashMap<>();

  /** How a request ended for its caller. Immutable. */
  record Ended(SimRequest request, long atNanos, boolean answered) {
    boolean inTime() {
      return answered && atNanos <= request.deadlineNanos();
    }

    double seconds() {
      long until = answered ? atNanos : request.deadlineNanos();
      return (until - request.arrivedNanos()) / NANOS_PER_SECOND;
    }
  }

  void arrived(SimRequest request) {
    open.put(request.id(), request);
  }

  void answered(SimRequest request, long nowNanos) {
    end(request, nowNanos, true);
  }

  void failed(SimRequest request, long nowNanos) {
    end(request, nowNanos, false);
  }

  /** Ends of a class whose arrival lies in a window; requests that never ended count as failed. */
  List<Ended> ended(RequestClass requestClass, LongPredicate arrivedAt) {
    Predicate<SimRequest> wanted =
        r -> r.requestClass() == requestClass && arrivedAt.test(r.arrivedNanos());
    List<Ended> found = new ArrayList<>();
    ended.stream().filter(e -> wanted.test(e.request())).forEach(found::add);
    open.values().stream()
        .filter(wanted)
        .forEach(r -> found.add(new Ended(r, Long.MAX_VALUE, false)));
    return found;
  }

  /** Ends of a class whose arrival lies between two times in seconds. */
  List<Ended> arrivedBetween(RequestClass requestClass, int fromSeconds, int toSeconds) {
    double from = fromSeconds * NANOS_PER_SECOND;
    double to = toSeconds * NANOS_PER_SECOND;
    return ended(requestClass, t -> t >= from && t < to);
  }

  /** The 99th percentile of time in seconds; an unanswered request counts with its patience. */
  static double p99Seconds(List<Ended> ends) {
    double[] seconds = ends.stream().mapToDouble(Ended::seconds).toArray();
    return seconds.length == 0 ? Double.NaN : Quantiles.percentiles().index(P99).compute(seconds);
  }

  /** Share of requests that were answered before their deadline, from 0 to 1. */
  static double servedShare(List<Ended> ends) {
    return ends.isEmpty() ? 1 : (double) ends.stream().filter(Ended::inTime).count() / ends.size();
  }

  private void end(SimRequest request, long nowNanos, boolean answered) {
    if (open.remove(request.id()) != null) {
      ended.add(new Ended(request, nowNanos, answered));
    }
  }
}
