package org.guavagw.standins.history;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.guavagw.config.VersionRef;

/**
 * Something observed during a run. A call id identifies a call of a caller and is the same for all
 * of its attempts; a request id is assigned by the entry. Immutable.
 */
public sealed interface Event {
  /** An event of one attempt of a caller to make a call. */
  sealed interface CallerEvent extends Event {
    String callId();

    int attempt();
  }

  /**
   * A caller sends an attempt.
   *
   * @param repeatable whether the call may be executed more than once
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
   * A caller received an answer that is reported as complete.
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

  /** The connection of a caller was lost before the end of the answer. */
  record CallerCut(String callId, int attempt) implements CallerEvent {}

  /**
   * A backend server starts to execute a request.
   *
   * @param callId call id in the tag of its content, if any
   * @param version empty for plain services
   * @param resumed whether it continues an earlier execution
   * @param waited time since the request arrived at the backend server
   * @param coldSlots maximum number of running requests while the backend server is cold
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
    /** Returns the time of arrival of a request, given the time at which its execution started. */
    public long arrivalNanos(long startNanos) {
      return startNanos - waited.toNanos();
    }
  }

  /** A backend server ends the execution of a request. */
  record ExecutionEnded(String server, Optional<String> requestId, boolean whole)
      implements Event {}

  /** A request reached a cold backend server without a free cold slot. */
  record ColdOverload(String server, String requestId) implements Event {}

  /** A backend server turned cold without notice. */
  record ServerTurnedCold(String server) implements Event {}

  /** A bill was written to the table service. */
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

  /** A revision of the configuration is in force at an entry. */
  record ConfigInForce(String entry, long revision) implements Event {}

  /** The withdrawal of a version was accepted. */
  record VersionWithdrawn(VersionRef version) implements Event {}

  /** A data centre was taken out of service. */
  record DataCentreOut(String dataCentre) implements Event {}

  /** A data centre was brought back into service. */
  record DataCentreIn(String dataCentre) implements Event {}

  /** A backend server was told to leave. */
  record ServerLeaving(String server) implements Event {}

  /** A backend server takes new requests again. */
  record ServerJoined(String server) implements Event {}

  /** An entry pinned a session to a version. */
  record SessionPinned(String team, String session, VersionRef version) implements Event {}

  /** An event that affects whether an entry can learn the newest configuration. */
  sealed interface EntryEvent extends Event {
    String entry();
  }

  /** An entry is ready; ids of entries are never reused. */
  record EntryStarted(String entry) implements EntryEvent {}

  /** An entry lost its connections to the platform and to all other entries. */
  record EntryCutOff(String entry) implements EntryEvent {}

  /** An entry can reach the platform or another entry again. */
  record EntryReconnected(String entry) implements EntryEvent {}

  /** An entry begins a graceful shutdown. */
  record EntryStopping(String entry) implements EntryEvent {}

  /** An entry stopped, gracefully or not. */
  record EntryStopped(String entry) implements EntryEvent {}
}
