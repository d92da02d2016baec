package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.guavagw.standins.history.Event.ConfigAccepted;
import org.guavagw.standins.history.Event.ConfigInForce;
import org.guavagw.standins.history.Event.EntryEvent;
import org.guavagw.standins.history.Event.EntryReconnected;
import org.guavagw.standins.history.Event.EntryStarted;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.TimedEvent;
import org.guavagw.standins.history.Violation;

/**
 * While an entry is up and connected, an accepted revision or a higher one is in force there within
 * a window after its acceptance, or after the start or the reconnection of the entry. No entry goes
 * back to a lower revision or applies one that was not accepted.
 */
public record ConfigurationChecker(Duration window) implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.CONFIGURATION_IN_FORCE;
  }

  @Override
  public List<Violation> check(History history) {
    List<Violation> violations = new ArrayList<>(wrongRevisions(history));
    for (TimedEvent<EntryEvent> since : connectionStarts(history)) {
      history.stream(ConfigAccepted.class)
          .filter(a -> isLate(history, a, since))
          .map(
              a ->
                  new Violation(
                      invariant(), a, "not in force in time at entry " + since.event().entry()))
          .forEach(violations::add);
    }
    return List.copyOf(violations);
  }

  private List<Violation> wrongRevisions(History history) {
    Map<String, Long> inForce = new HashMap<>();
    List<Violation> violations = new ArrayList<>();
    for (TimedEvent<ConfigInForce> f : history.of(ConfigInForce.class)) {
      Long before = inForce.put(f.event().entry(), f.event().revision());
      if (before != null && before > f.event().revision()) {
        violations.add(new Violation(invariant(), f, "went back from revision " + before));
      }
      if (!wasAccepted(history, f)) {
        violations.add(new Violation(invariant(), f, "revision was not accepted before"));
      }
    }
    return violations;
  }

  private static boolean wasAccepted(History history, TimedEvent<ConfigInForce> inForce) {
    return history.stream(ConfigAccepted.class)
        .anyMatch(a -> a.event().revision() == inForce.event().revision() && a.isBefore(inForce));
  }

  private boolean isLate(
      History history, TimedEvent<ConfigAccepted> accepted, TimedEvent<EntryEvent> since) {
    long deadline = Math.max(accepted.nanos(), since.nanos()) + window.toNanos();
    return deadline <= connectedUntil(history, since)
        && !isInForceBy(history, accepted, since.event().entry(), deadline);
  }

  private static boolean isInForceBy(
      History history, TimedEvent<ConfigAccepted> accepted, String entry, long deadline) {
    return history.stream(ConfigInForce.class)
        .filter(f -> f.event().entry().equals(entry) && f.nanos() <= deadline)
        .anyMatch(f -> f.event().revision() >= accepted.event().revision());
  }

  private static List<TimedEvent<EntryEvent>> connectionStarts(History history) {
    return entryEvents(history)
        .filter(t -> t.event() instanceof EntryStarted || t.event() instanceof EntryReconnected)
        .toList();
  }

  private static long connectedUntil(History history, TimedEvent<EntryEvent> since) {
    return entryEvents(history)
        .filter(t -> since.isBefore(t) && t.event().entry().equals(since.event().entry()))
        .mapToLong(TimedEvent::nanos)
        .findFirst()
        .orElse(history.endNanos());
  }

  private static Stream<TimedEvent<EntryEvent>> entryEvents(History history) {
    return history.events().stream()
        .filter(t -> t.event() instanceof EntryEvent)
        .map(t -> new TimedEvent<>(t.order(), t.nanos(), (EntryEvent) t.event()));
  }
}
