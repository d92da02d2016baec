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
 * What became of one request: its lines on all entries in order of time, and what these entries
 * believed meanwhile. Immutable.
 */
final class Story {
  /** What an entry learnt shortly before a request may have decided it. */
  private static final Duration BEFORE = Duration.ofSeconds(10);

  private static final Duration AFTER = Duration.ofSeconds(1);

  /** Lines about other requests, and those that say nothing about what an entry believes. */
  private static final Set<String> OF_REQUESTS =
      Set.of(
          "request",
          "request_refused",
          "request_malformed",
          "attempt_sent",
          "attempt_failed",
          "answer_dropped");

  private final List<LogLine> own;
  private final List<LogLine> context;

  private Story(List<LogLine> own, List<LogLine> context) {
    this.own = own;
    this.context = context;
  }

  static Story of(String id, List<LogLine> lines) {
    List<LogLine> own =
        lines.stream()
            .filter(l -> l.id().equals(id))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    if (own.isEmpty()) {
      return new Story(own, List.of());
    }
    Instant begin = own.get(0).time().minus(BEFORE);
    Instant end = own.get(own.size() - 1).time().plus(AFTER);
    Set<String> nodes = own.stream().map(LogLine::node).collect(Collectors.toSet());
    List<LogLine> context =
        lines.stream()
            .filter(l -> nodes.contains(l.node()) && !OF_REQUESTS.contains(l.event()))
            .filter(l -> l.time().isAfter(begin) && l.time().isBefore(end))
            .sorted(Comparator.comparing(LogLine::time))
            .toList();
    return new Story(own, context);
  }

  boolean isEmpty() {
    return own.isEmpty();
  }

  String text() {
    StringBuilder text = new StringBuilder("what became of the request:\n");
    own.forEach(l -> text.append(format(l)));
    text.append("what its entries learnt meanwhile and in the 10 s before:\n");
    if (context.isEmpty()) {
      text.append("  nothing\n");
    }
    summarized().forEach(text::append);
    text.append("ended as: ").append(outcome()).append('\n');
    return text.toString();
  }

  /** Lines that differ in their time only stand once, with their number. */
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
    LogLine last = own.get(own.size() - 1);
    String reason = last.fields().getOrDefault("outcome", last.fields().get("reason"));
    return reason == null ? "unknown; its last line is " + last.event() : reason;
  }

  private static String format(LogLine line) {
    String fields =
        line.fields().entrySet().stream()
            .map(f -> f.getKey() + '=' + f.getValue())
            .collect(Collectors.joining(" "));
    return String.format("  %s  %-20s %-20s %s%n", line.time(), line.node(), line.event(), fields);
  }
}
