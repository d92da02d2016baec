package org.guavagw.cli.bench.load;

import com.google.common.math.Quantiles;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import org.guavagw.internal.limits.RequestClass;

/** Records the result of each request as seen by its caller. Not thread-safe. */
final class CallerLog {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int P99 = 99;

  private final List<CompletedRequest> completed = new ArrayList<>();
  private final Map<Long, SimulatedRequest> open = new HashMap<>();

  /** Result of a request for its caller. Immutable. */
  record CompletedRequest(SimulatedRequest request, long atNanos, boolean answered) {
    boolean inTime() {
      return answered && atNanos <= request.deadlineNanos();
    }

    double seconds() {
      long until = answered ? atNanos : request.deadlineNanos();
      return (until - request.arrivedNanos()) / NANOS_PER_SECOND;
    }
  }

  void arrived(SimulatedRequest request) {
    open.put(request.id(), request);
  }

  void answered(SimulatedRequest request, long nowNanos) {
    end(request, nowNanos, true);
  }

  void failed(SimulatedRequest request, long nowNanos) {
    end(request, nowNanos, false);
  }

  /** Returns the results by class and arrival time; requests without a result count as failed. */
  List<CompletedRequest> completed(RequestClass requestClass, LongPredicate arrivedAt) {
    Predicate<SimulatedRequest> wanted =
        r -> r.requestClass() == requestClass && arrivedAt.test(r.arrivedNanos());
    List<CompletedRequest> found = new ArrayList<>();
    completed.stream().filter(e -> wanted.test(e.request())).forEach(found::add);
    open.values().stream()
        .filter(wanted)
        .forEach(r -> found.add(new CompletedRequest(r, Long.MAX_VALUE, false)));
    return found;
  }

  /** Returns the results of a class with an arrival time in a range, in seconds. */
  List<CompletedRequest> arrivedBetween(RequestClass requestClass, int fromSeconds, int toSeconds) {
    double from = fromSeconds * NANOS_PER_SECOND;
    double to = toSeconds * NANOS_PER_SECOND;
    return completed(requestClass, t -> t >= from && t < to);
  }

  /** Returns the p99 latency in seconds; an unanswered request counts with its deadline. */
  static double p99Seconds(List<CompletedRequest> requests) {
    double[] seconds = requests.stream().mapToDouble(CompletedRequest::seconds).toArray();
    return seconds.length == 0 ? Double.NaN : Quantiles.percentiles().index(P99).compute(seconds);
  }

  /** Returns the share of requests answered before their deadline, from 0 to 1. */
  static double servedShare(List<CompletedRequest> requests) {
    return requests.isEmpty()
        ? 1
        : (double) requests.stream().filter(CompletedRequest::inTime).count() / requests.size();
  }

  private void end(SimulatedRequest request, long nowNanos, boolean answered) {
    if (open.remove(request.id()) != null) {
      completed.add(new CompletedRequest(request, nowNanos, answered));
    }
  }
}
