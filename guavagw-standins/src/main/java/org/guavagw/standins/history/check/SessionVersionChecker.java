package org.guavagw.standins.history.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.history.Event.CallerAnswered;
import org.guavagw.standins.history.Event.CallerSent;
import org.guavagw.standins.history.Event.SessionPinned;
import org.guavagw.standins.history.Event.VersionWithdrawn;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.TimedEvent;
import org.guavagw.standins.history.Violation;

/**
 * A session uses one version of each model, in its answers and its pins, until that version is
 * withdrawn. No time window applies.
 */
public record SessionVersionChecker() implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.SESSION_KEEPS_VERSION;
  }

  @Override
  public List<Violation> check(History history) {
    Map<SessionModel, VersionRef> current = new HashMap<>();
    List<Violation> violations = new ArrayList<>();
    for (Observation o : observations(history)) {
      VersionRef before = current.put(o.key(), o.version());
      boolean kept = before == null || before.equals(o.version());
      if (!kept && !withdrawn(history, before, o.event())) {
        violations.add(new Violation(invariant(), o.event(), "the session used " + before));
      }
    }
    return List.copyOf(violations);
  }

  private static List<Observation> observations(History history) {
    List<Observation> all = new ArrayList<>();
    history.stream(SessionPinned.class).map(SessionVersionChecker::pin).forEach(all::add);
    history.stream(CallerAnswered.class)
        .flatMap(a -> answer(history, a).stream())
        .forEach(all::add);
    all.sort(Comparator.comparingLong(o -> o.event().order()));
    return all;
  }

  private static Observation pin(TimedEvent<SessionPinned> pin) {
    SessionPinned p = pin.event();
    return new Observation(
        new SessionModel(p.team(), p.session(), p.version().model()), p.version(), pin);
  }

  private static Optional<Observation> answer(History history, TimedEvent<CallerAnswered> answer) {
    Optional<CallerSent> sent = CallerAttempts.sent(history, answer.event());
    if (sent.isEmpty() || sent.get().session().isEmpty() || answer.event().version().isEmpty()) {
      return Optional.empty();
    }
    VersionRef version = answer.event().version().get();
    SessionModel key =
        new SessionModel(sent.get().team(), sent.get().session().get(), version.model());
    return Optional.of(new Observation(key, version, answer));
  }

  private static boolean withdrawn(History history, VersionRef version, TimedEvent<?> before) {
    return history.stream(VersionWithdrawn.class)
        .anyMatch(w -> w.event().version().equals(version) && w.isBefore(before));
  }

  /** A session and a model. */
  private record SessionModel(String team, String session, String model) {}

  /** A version that a session used, and the event that showed it. */
  private record Observation(SessionModel key, VersionRef version, TimedEvent<?> event) {}
}
