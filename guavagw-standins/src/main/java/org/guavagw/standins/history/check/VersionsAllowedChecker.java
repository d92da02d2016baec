package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.history.Event.CallerSent;
import org.guavagw.standins.history.Event.ConfigAccepted;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.TimedEvent;
import org.guavagw.standins.history.Violation;

/**
 * A request runs only on a version that its team may use. It must be allowed by a configuration
 * that was the newest one at some time within the window before the request arrived at the backend
 * server.
 */
public record VersionsAllowedChecker(Duration window) implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.ALLOWED_VERSIONS;
  }

  @Override
  public List<Violation> check(History history) {
    return history.stream(ExecutionStarted.class)
        .filter(e -> e.event().version().isPresent() && e.event().callId().isPresent())
        .filter(e -> !allowed(history, e))
        .map(e -> new Violation(invariant(), e, "the team may not use this version"))
        .toList();
  }

  private boolean allowed(History history, TimedEvent<ExecutionStarted> execution) {
    VersionRef version = execution.event().version().orElseThrow();
    Optional<String> team = team(history, execution.event().callId().orElseThrow());
    return team.isPresent()
        && configsInWindow(history, execution.event().arrivalNanos(execution.nanos())).stream()
            .map(c -> c.event().allowed().getOrDefault(team.get(), Set.of()))
            .anyMatch(versions -> versions.contains(version));
  }

  private static Optional<String> team(History history, String callId) {
    return history.stream(CallerSent.class)
        .filter(s -> s.event().callId().equals(callId))
        .map(s -> s.event().team())
        .findFirst();
  }

  private List<TimedEvent<ConfigAccepted>> configsInWindow(History history, long nanos) {
    List<TimedEvent<ConfigAccepted>> all = history.of(ConfigAccepted.class);
    return all.stream()
        .filter(c -> c.nanos() <= nanos)
        .filter(c -> replacedAt(all, c) >= nanos - window.toNanos())
        .toList();
  }

  private static long replacedAt(
      List<TimedEvent<ConfigAccepted>> all, TimedEvent<ConfigAccepted> config) {
    return all.stream()
        .filter(o -> o.event().revision() > config.event().revision())
        .mapToLong(TimedEvent::nanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }
}
