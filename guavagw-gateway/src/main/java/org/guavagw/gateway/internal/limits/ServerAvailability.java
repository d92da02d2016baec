package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.QuarantineNotices;
import org.guavagw.gateway.internal.peers.ServerNotices;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * What backend servers say in their answers about further requests: that they are leaving, that
 * they want none for a while, how many they take, or how few they can reject. Confined to the
 * traffic thread.
 */
public final class ServerAvailability {
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Comes from another backend server than the one that the request was meant for. */
  private static final int MISDIRECTED_REQUEST = 421;

  private final LeavingServers leaving;
  private final ServerPauses pauses;
  private final ServerRateLimits limits;
  private final BrittleServers brittle;
  private final Runnable onFull;
  private final EventLog log;

  /**
   * Combines the policies.
   *
   * @param onFull runs when a brittle server turned a request away, of which other entries should
   *     be notified
   */
  public ServerAvailability(
      LeavingServers leaving,
      ServerPauses pauses,
      ServerRateLimits limits,
      BrittleServers brittle,
      Runnable onFull,
      EventLog log) {
    this.leaving = leaving;
    this.pauses = pauses;
    this.limits = limits;
    this.brittle = brittle;
    this.onFull = onFull;
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
      noteLimit(server, answer.requestsPerSecond(), nowNanos);
      answer.unreadableRequestsPerSecond().ifPresent(text -> logUnreadableLimit(server, text));
      noteBrittleness(server, answer, nowNanos);
    }
  }

  private void noteBrittleness(BackendServer server, AnswerHead answer, long nowNanos) {
    OptionalDouble tolerated = answer.toleratedRejections();
    if (brittle.onStatement(server.incarnation(), tolerated, nowNanos)) {
      log.event("backend_brittle")
          .with("backend", server.id())
          .with(
              "tolerated_rejections",
              tolerated.isPresent() ? Double.toString(tolerated.getAsDouble()) : "any")
          .write();
    }
    answer
        .unreadableToleratedRejections()
        .ifPresent(
            text ->
                log.event("brittleness_ignored")
                    .with("backend", server.id())
                    .with("value", text)
                    .with("reason", "not a number of rejections")
                    .write());
    boolean rejected = answer.notExecuted() && answer.status() == SERVICE_UNAVAILABLE;
    if (rejected && brittle.onRejected(server, nowNanos)) {
      log.event("brittle_backend_full")
          .with("backend", server.id())
          .with("next_request_ms", brittle.untilNext(server, nowNanos).toMillis())
          .write();
      onFull.run();
    }
  }

  private void noteLimit(BackendServer server, OptionalDouble perSecond, long nowNanos) {
    if (!limits.onStatement(server, perSecond, nowNanos)) {
      return;
    }
    String stated = perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    log.event("backend_limit")
        .with("backend", server.id())
        .with("per_second", stated)
        .with("next_request_ms", limits.untilNext(server, nowNanos).toMillis())
        .write();
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

  /** Takes note of what another entry tells. */
  public void onReport(String entry, ServerNotices notices, long nowNanos) {
    notices.requestLimits().forEach((i, rate) -> limits.onReport(i, rate, nowNanos));
    brittle.onReport(notices.brittle(), notices.full(), nowNanos);
    for (String incarnation : notices.leaving()) {
      if (leaving.onReport(incarnation, nowNanos)) {
        log.event("backend_leaving").with("incarnation", incarnation).with("by", entry).write();
      }
    }
  }

  /** Returns what other entries are to be notified of, without the quarantine. */
  public ServerNotices toTell(long nowNanos) {
    return new ServerNotices(
        leaving.toTell(nowNanos),
        limits.toTell(nowNanos),
        brittle.brittle(),
        brittle.full(nowNanos),
        QuarantineNotices.NONE);
  }

  /** Returns whether a new attempt may go to a backend server. */
  public boolean allows(BackendServer server, long nowNanos) {
    return !leaving.contains(server.incarnation())
        && pauses.allows(server.incarnation(), nowNanos)
        && limits.allows(server, nowNanos)
        && brittle.allows(server, nowNanos);
  }

  /** Returns whether an attempt that was already assigned to a backend server may be sent. */
  public boolean accepts(BackendServer server, long nowNanos) {
    return !leaving.contains(server.incarnation())
        && !pauses.isPaused(server.incarnation(), nowNanos);
  }

  /** Records that an attempt is assigned to a backend server. */
  public void onSent(BackendServer server, long nowNanos) {
    pauses.onSent(server.incarnation(), nowNanos);
    limits.onSent(server, nowNanos);
  }

  /**
   * Returns the time until the first of some backend servers takes a request again; empty if one
   * does so now or none ever will.
   */
  public Optional<Duration> untilFirstAccepts(Collection<BackendServer> servers, long nowNanos) {
    return servers.stream()
        .filter(s -> !leaving.contains(s.incarnation()))
        .map(s -> untilAccepts(s, nowNanos))
        .min(Comparator.naturalOrder())
        .filter(delay -> !delay.isZero());
  }

  private Duration untilAccepts(BackendServer server, long nowNanos) {
    Duration pause = pauses.untilEnd(server.incarnation(), nowNanos);
    Duration limit = limits.untilNext(server, nowNanos);
    Duration room = brittle.untilNext(server, nowNanos);
    return Collections.max(List.of(pause, limit, room));
  }

  /** Removes the state of backend servers that are gone. */
  public void retain(Set<String> incarnations, long nowNanos) {
    pauses.retain(incarnations);
    limits.retain(incarnations);
    brittle.retain(incarnations);
    leaving.expire(nowNanos);
  }
}
