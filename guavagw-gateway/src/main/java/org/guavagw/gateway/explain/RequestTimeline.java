package org.guavagw.gateway.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The log lines about one request on all entries in order of time, together with other events of
 * these entries around that time. Immutable.
 */
final class RequestTimeline {
  /** Events shortly before a request may have caused its outcome. */
  private static final Duration CONTEXT_BEFORE = Duration.ofSeconds(10);

  private static final Duration CONTEXT_AFTER = Duration.ofSeconds(1);

  /** Events about single requests, which are not part of the context. */
  private static final Set<String> REQUEST_EVENTS =
      Set.of(
          "request",
          "request_refused",
          "request_malformed",
          "attempt_sent",
          "attempt_failed",
          "answer_dropped");

  private final List<LogLine> requestLines;
  private final List<LogLine> context;

  private RequestTimeline(List<LogLine> requestLines, List<LogLine> context) {
    this.requestLines = requestLines;
    this.context = context;
  }

  static RequestTimeline of(String id, List<LogLine> lines) {
    List<LogLine> requestLines =
        lines.stream()
            .filter(l -> l.id().equals(id))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    if (requestLines.isEmpty()) {
      return new RequestTimeline(requestLines, List.of());
    }
    Instant begin = requestLines.get(0).time().minus(CONTEXT_BEFORE);
    Instant end = requestLines.get(requestLines.size() - 1).time().plus(CONTEXT_AFTER);
    Set<String> nodes = requestLines.stream().map(LogLine::node).collect(Collectors.toSet());
    List<LogLine> context =
        lines.stream()
            .filter(l -> nodes.contains(l.node()) && !REQUEST_EVENTS.contains(l.event()))
            .filter(l -> l.time().isAfter(begin) && l.time().isBefore(end))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    return new RequestTimeline(requestLines, context);
  }

  boolean isEmpty() {
    return requestLines.isEmpty();
  }

  String text() {
    StringBuilder text = new StringBuilder("events of the request:\n");
    requestLines.forEach(l -> text.append(format(l)));
    text.append("other events on its entries, from 10 s before to 1 s after:\n");
    if (context.isEmpty()) {
      text.append("  none\n");
    }
    summarized().forEach(text::append);
    text.append("ended as: ").append(outcome()).append('\n');
    return text.toString();
  }

  /** Returns the context lines; those that differ only in time appear once, with their count. */
  private List<String> summarized() {
    Map<String, Integer> counts = new HashMap<>();
    context.forEach(l -> counts.merge(key(l), 1, Integer::sum));
    Set<String> written = new TreeSet<>();
    return context.stream()
        .filter(l -> written.add(key(l)))
        .map(l -> format(l).stripTrailing() + times(counts.get(key(l))) + '\n')
        .toList();
  }

  private static String key(LogLine line) {
    return line.node() + line.event() + line.fields();
  }

  private static String times(int count) {
    return count > 1 ? "  (" + count + " times)" : "";
  }

  private String outcome() {
    LogLine last = requestLines.get(requestLines.size() - 1);
    String reason = last.fields().getOrDefault("outcome", last.fields().get("reason"));
    return reason == null
        ? "unknown: no outcome was logged; the last event is " + last.event()
        : reason;
  }

  private static String format(LogLine line) {
    String fields =
        line.fields().entrySet().stream()
            .map(f -> f.getKey() + '=' + f.getValue())
            .collect(Collectors.joining(" "));
    return String.format("  %s  %-20s %-20s %s%n", line.time(), line.node(), line.event(), fields);
  }
}
