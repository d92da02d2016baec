package org.guavagw.standins.history;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.guavagw.config.VersionRef;

/**
 * Something that was seen during a run. A call id names a call as its caller means it and is the
 * same for its attempts; a request id is given by the entry. Immutable.
 */
public sealed interface Event {
  /** What a caller saw of one attempt of a call. */
  sealed interface CallerEvent extends Event {
    String callId();

    int attempt();
  }

  /**
   * A caller sends an attempt.
   *
   * @param repeatable whether the call may run more than once
   */
  record CallerSent(
      String callId,
      int attempt,
      String entry,
      String team,
      Optional<String> session,
      boolean repeatable,
      ExpectedAnswer expected)
      implements CallerEvent {}

  /**
   * A caller has an answer that claims to be whole.
   *
   * @param version empty for plain services
   */
  record CallerAnswered(
      String callId, int attempt, String requestId, Optional<VersionRef> version, String text)
      implements CallerEvent {}

  /** A caller was refused. */
  record CallerRefused(
      String callId, int attempt, Optional<String> requestId, ReportedRunState claim, String code)
      implements CallerEvent {}

  /** The connection of a caller broke before the end of the answer. */
  record CallerCut(String callId, int attempt) implements CallerEvent {}

  /**
   * A backend server starts to run a request.
   *
   * @param callId the tag in its content, if any
   * @param version empty for plain services
   * @param resumed whether it continues an earlier run
   * @param waited time since the request arrived at the backend server
   * @param coldSlots requests that the backend server takes at once while cold
   */
  record ExecutionStarted(
      String server,
      String dataCentre,
      Optional<String> callId,
      Optional<String> requestId,
      Optional<VersionRef> version,
      boolean resumed,
      Duration waited,
      boolean cold,
      int concurrency,
      int coldSlots)
      implements Event {
    /** Time of arrival of a request that started at a time. */
    public long arrivalNanos(long startNanos) {
      return startNanos - waited.toNanos();
    }
  }

  /** A backend server ends the run of a request. */
  record ExecutionEnded(String server, Optional<String> requestId, boolean whole)
      implements Event {}

  /** A request reached a cold backend server that had no cold slot left. */
  record ColdOverload(String server, String requestId) implements Event {}

  /** A backend server turned cold without telling anyone. */
  record ServerTurnedCold(String server) implements Event {}

  /** A bill is in the table service. */
  record BillWritten(String requestId) implements Event {}

  /**
   * A revision of the configuration was accepted.
   *
   * @param allowed versions that each team may use
   */
  record ConfigAccepted(long revision, Map<String, Set<VersionRef>> allowed) implements Event {
    public ConfigAccepted {
      allowed =
          allowed.entrySet().stream()
              .collect(
                  Collectors.toUnmodifiableMap(Map.Entry::getKey, e -> Set.copyOf(e.getValue())));
    }
  }

  /** An entry decides by a revision from now on. */
  record ConfigInForce(String entry, long revision) implements Event {}

  /** The withdrawal of a version was accepted. */
  record VersionWithdrawn(VersionRef version) implements Event {}

  /** A data centre was taken out. */
  record DataCentreOut(String dataCentre) implements Event {}

  /** A data centre was brought back. */
  record DataCentreIn(String dataCentre) implements Event {}

  /** A backend server was told to leave. */
  record ServerLeaving(String server) implements Event {}

  /** A backend server takes work again. */
  record ServerJoined(String server) implements Event {}

  /** An entry pinned a session to a version. */
  record SessionPinned(String team, String session, VersionRef version) implements Event {}

  /** What changes whether an entry can know the newest configuration. */
  sealed interface EntryEvent extends Event {
    String entry();
  }

  /** An entry is ready; an id is never used again. */
  record EntryStarted(String entry) implements EntryEvent {}

  /** An entry can reach neither the platform nor any other entry. */
  record EntryCutOff(String entry) implements EntryEvent {}

  /** An entry can reach the platform or another entry again. */
  record EntryReconnected(String entry) implements EntryEvent {}

  /** An entry begins a graceful shutdown. */
  record EntryStopping(String entry) implements EntryEvent {}

  /** An entry is gone, gracefully or not. */
  record EntryStopped(String entry) implements EntryEvent {}
}
