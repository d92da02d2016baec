package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * What backend servers say in their answers about further requests: that they are leaving, or that
 * they want none for a while. Confined to the traffic thread.
 */
public final class ServerAvailability {
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Comes from another backend server than the one that the request was meant for. */
  private static final int MISDIRECTED_REQUEST = 421;

  private final LeavingServers leaving;
  private final ServerPauses pauses;
  private final EventLog log;
  private final Map<String, OptionalDouble> limits = new HashMap<>();

  /** Combines both policies. */
  public ServerAvailability(LeavingServers leaving, ServerPauses pauses, EventLog log) {
    this.leaving = leaving;
    this.pauses = pauses;
    this.log = log;
  }

  /** Takes note of an answer. */
  public void onAnswer(BackendServer server, AnswerHead answer, long nowNanos) {
    String incarnation = server.incarnation();
    if (answer.leaving() && leaving.onStatement(incarnation, nowNanos)) {
      log.event("backend_leaving").with("backend", server.id()).with("by", "its answer").write();
    }
    if (answer.status() == SERVICE_UNAVAILABLE) {
      answer.retryAfter().ifPresent(delay -> pause(server, delay, nowNanos));
      answer.unreadableRetryAfter().ifPresent(text -> logUnreadable(server, text));
    } else if (!answer.notExecuted()) {
      pauses.onExecuted(incarnation, nowNanos);
    }
    if (answer.status() != MISDIRECTED_REQUEST) {
      noteLimit(server, answer.requestsPerSecond());
      answer.unreadableRequestsPerSecond().ifPresent(text -> logUnreadableLimit(server, text));
    }
  }

  private void noteLimit(BackendServer server, OptionalDouble perSecond) {
    OptionalDouble before = limits.getOrDefault(server.incarnation(), OptionalDouble.empty());
    if (before.equals(perSecond)) {
      return;
    }
    limits.put(server.incarnation(), perSecond);
    String stated = perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    log.event("backend_limit").with("backend", server.id()).with("per_second", stated).write();
  }

  private void pause(BackendServer server, Duration delay, long nowNanos) {
    pauses.pause(server.incarnation(), delay, nowNanos);
    log.event("backend_paused")
        .with("backend", server.id())
        .with("asked_ms", delay.toMillis())
        .with("pause_ms", pauses.untilEnd(server.incarnation(), nowNanos).toMillis())
        .write();
  }

  private void logUnreadable(BackendServer server, String text) {
    log.event("retry_after_ignored")
        .with("backend", server.id())
        .with("value", text)
        .with("reason", "not a number of seconds")
        .write();
  }

  private void logUnreadableLimit(BackendServer server, String text) {
    log.event("request_limit_ignored")
        .with("backend", server.id())
        .with("value", text)
        .with("reason", "not a number of requests per second")
        .write();
  }

  /** Takes note of the leaving incarnations that another entry reports. */
  public void onReport(String entry, Collection<String> incarnations, long nowNanos) {
    for (String incarnation : incarnations) {
      if (leaving.onReport(incarnation, nowNanos)) {
        log.event("backend_leaving").with("incarnation", incarnation).with("by", entry).write();
      }
    }
  }

  /** Returns the leaving incarnations that other entries are to be told of. */
  public Set<String> leavingToTell(long nowNanos) {
    return leaving.toTell(nowNanos);
  }

  /** Returns whether a new attempt may go to a backend server. */
  public boolean allows(BackendServer server, long nowNanos) {
    return !leaving.contains(server.incarnation()) && pauses.allows(server.incarnation(), nowNanos);
  }

  /** Returns whether an attempt that was already assigned to a backend server may be sent. */
  public boolean accepts(BackendServer server, long nowNanos) {
    return !leaving.contains(server.incarnation())
        && !pauses.isPaused(server.incarnation(), nowNanos);
  }

  /** Records that an attempt is assigned to a backend server. */
  public void onSent(BackendServer server, long nowNanos) {
    pauses.onSent(server.incarnation(), nowNanos);
  }

  /**
   * Returns the time until the first of some backend servers ends its pause; empty if none of them
   * is in a pause or one accepts requests now.
   */
  public Optional<Duration> untilFirstPauseEnds(Collection<BackendServer> servers, long nowNanos) {
    return servers.stream()
        .filter(s -> !leaving.contains(s.incarnation()))
        .map(s -> pauses.untilEnd(s.incarnation(), nowNanos))
        .min(Comparator.naturalOrder())
        .filter(delay -> !delay.isZero());
  }

  /** Removes the state of backend servers that are gone. */
  public void retain(Set<String> incarnations, long nowNanos) {
    pauses.retain(incarnations);
    limits.keySet().retainAll(incarnations);
    leaving.expire(nowNanos);
  }
}
