package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.history.Event;
import org.guavagw.standins.history.Event.CallerAnswered;
import org.guavagw.standins.history.Event.CallerRefused;
import org.guavagw.standins.history.Event.CallerSent;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.ExpectedAnswer;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.ReportedRunState;
import org.guavagw.standins.history.TimedEvent;

/** Builds histories for tests; times are in seconds. */
final class HistoryBuilder {
  static final Duration WINDOW = Duration.ofSeconds(3);
  static final VersionRef V1 = VersionRef.parse("report@v1");
  static final VersionRef V2 = VersionRef.parse("report@v2");

  private final List<TimedEvent<Event>> events = new ArrayList<>();

  static HistoryBuilder start() {
    return new HistoryBuilder();
  }

  HistoryBuilder at(long seconds, Event event) {
    events.add(new TimedEvent<>(events.size(), Duration.ofSeconds(seconds).toNanos(), event));
    return this;
  }

  History build() {
    return new History(events);
  }

  static CallerSent sent(String callId, int attempt) {
    return sent(callId, attempt, Optional.empty(), false);
  }

  static CallerSent sentInSession(String callId, String session) {
    return sent(callId, 1, Optional.of(session), true);
  }

  static CallerSent sent(String callId, int attempt, Optional<String> session, boolean repeatable) {
    ExpectedAnswer expected = new ExpectedAnswer.Chat("p", 4);
    return new CallerSent(callId, attempt, "entry1", "team1", session, repeatable, expected);
  }

  static CallerAnswered answered(String callId, VersionRef version, String text) {
    return new CallerAnswered(callId, 1, "r-" + callId, Optional.of(version), text);
  }

  static CallerRefused refused(String callId, int attempt, ReportedRunState claim) {
    return new CallerRefused(callId, attempt, Optional.of("r-" + callId), claim, "overloaded");
  }

  static ExecutionStarted run(String callId, VersionRef version) {
    return run(callId, version, false, false, 1, Duration.ZERO);
  }

  static ExecutionStarted resumed(String callId) {
    return run(callId, V1, true, false, 1, Duration.ZERO);
  }

  static ExecutionStarted waited(String callId, long seconds) {
    return run(callId, V1, false, false, 1, Duration.ofSeconds(seconds));
  }

  static ExecutionStarted cold(int concurrency) {
    return run("c", V1, false, true, concurrency, Duration.ZERO);
  }

  private static ExecutionStarted run(
      String callId,
      VersionRef version,
      boolean resumed,
      boolean cold,
      int concurrency,
      Duration waited) {
    return new ExecutionStarted(
        "server1",
        "luxor-ops",
        Optional.of(callId),
        Optional.of("r-" + callId),
        Optional.of(version),
        resumed,
        waited,
        cold,
        concurrency,
        2);
  }
}
