package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleBiFunction;
import java.util.stream.Collectors;
import org.guavagw.gateway.model.BackendServer;

/**
 * Keeps this entry within its share of the request rates that backend servers state.
 *
 * <p>Protects a backend server in need, which states the rate that it takes from all entries
 * together. Each entry with a share spaces its requests evenly, so all together stay within the
 * rate without asking one another; entries without one, among many, learn from the others for how
 * long the server states a rate. A rate belongs to a server rather than to one start of it: a
 * server that is started anew is still kept from more until it answers. Not thread-safe.
 */
public final class ServerRateLimits {
  /** How long a rate that another entry told of holds; it is told again several times meanwhile. */
  static final Duration TOLD_MEMORY = Duration.ofSeconds(3);

  /** How long an entry without a share keeps to a statement that no other entry confirms. */
  private static final Duration UNCONFIRMED_MEMORY = Duration.ofSeconds(5);

  /** How long an answer without a statement outweighs what other entries still tell. */
  private static final Duration LIFTED_MEMORY = Duration.ofSeconds(10);

  /** Another entry may have a share. */
  private static final Duration NO_SHARE_DELAY = Duration.ofMillis(500);

  /** A server that takes nothing is still asked this often whether that has changed. */
  private static final double MIN_PER_SECOND = 0.05;

  private static final double NANOS_PER_SECOND = 1e9;

  private final ToDoubleBiFunction<BackendServer, Double> share;
  private final DoubleSupplier random;
  private final Map<String, Limit> limitById = new HashMap<>();

  /**
   * Creates a policy without limits.
   *
   * @param share this entry's share of a rate that a backend server states; 0 if it has none
   * @param random source of numbers from 0 to 1, different on each entry
   */
  public ServerRateLimits(ToDoubleBiFunction<BackendServer, Double> share, DoubleSupplier random) {
    this.share = share;
    this.random = random;
  }

  /**
   * Records what an answer of a backend server states, unless it was started anew since; returns
   * whether that is another rate than before.
   */
  boolean onStatement(BackendServer server, OptionalDouble perSecond, long nowNanos) {
    Limit limit = limitById.get(server.id());
    if (limit == null ? perSecond.isEmpty() : limit.isOfLaterStart(server)) {
      return false;
    }
    if (limit == null) {
      limit = new Limit();
      limitById.put(server.id(), limit);
    }
    boolean changed = !limit.stated.equals(perSecond);
    limit.server = server;
    limit.stated = perSecond;
    limit.statedNanos = nowNanos;
    if (changed && perSecond.isPresent()) {
      limit.restart(gapNanos(server, perSecond.getAsDouble()), random.getAsDouble(), nowNanos);
    }
    return changed;
  }

  /** Records a rate that a backend server stated to another entry. */
  void onReport(String incarnation, double perSecond, long nowNanos) {
    Limit limit =
        limitById.computeIfAbsent(BackendServer.idOfIncarnation(incarnation), i -> new Limit());
    limit.told = perSecond;
    limit.toldNanos = nowNanos;
    limit.everTold = true;
  }

  /**
   * Returns the rates that backend servers state to this entry and that it has a share of; others
   * only while the statement is new, as this entry would not notice that the rate is lifted.
   */
  Map<String, Double> toTell(long nowNanos) {
    if (limitById.isEmpty()) {
      return Map.of();
    }
    Map<String, Double> told = new HashMap<>();
    for (Limit limit : limitById.values()) {
      if (limit.stated.isPresent() && isKept(limit, limit.server, nowNanos)) {
        told.put(limit.server.incarnation(), limit.stated.getAsDouble());
      }
    }
    return told;
  }

  /** Returns whether a request may be sent now. */
  boolean allows(BackendServer server, long nowNanos) {
    return untilNext(server, nowNanos).isZero();
  }

  /** Returns the time until a request may be sent; zero if one may be sent now. */
  Duration untilNext(BackendServer server, long nowNanos) {
    Limit limit = limitById.get(server.id());
    Optional<Double> perSecond = inForce(limit, server, nowNanos);
    if (perSecond.isEmpty()) {
      return Duration.ZERO;
    }
    return hasShare(server, perSecond.get())
        ? Duration.ofNanos(Math.max(0, limit.nextNanos - nowNanos))
        : NO_SHARE_DELAY;
  }

  /** Records that a request is sent now. */
  void onSent(BackendServer server, long nowNanos) {
    Limit limit = limitById.get(server.id());
    inForce(limit, server, nowNanos)
        .ifPresent(perSecond -> limit.nextNanos = nowNanos + gapNanos(server, perSecond));
  }

  private Optional<Double> inForce(Limit limit, BackendServer server, long nowNanos) {
    if (limit == null) {
      return Optional.empty();
    }
    if (limit.stated.isPresent() && isKept(limit, server, nowNanos)) {
      return Optional.of(limit.stated.getAsDouble());
    }
    boolean lifted =
        limit.server != null
            && limit.stated.isEmpty()
            && nowNanos - limit.statedNanos < LIFTED_MEMORY.toNanos();
    boolean told = limit.everTold && nowNanos - limit.toldNanos < TOLD_MEMORY.toNanos();
    return told && !lifted ? Optional.of(limit.told) : Optional.empty();
  }

  /** Returns whether this entry keeps to the rate that a server stated to it. */
  private boolean isKept(Limit limit, BackendServer server, long nowNanos) {
    return hasShare(server, limit.stated.getAsDouble())
        || nowNanos - limit.statedNanos < UNCONFIRMED_MEMORY.toNanos();
  }

  private boolean hasShare(BackendServer server, double perSecond) {
    return share.applyAsDouble(server, Math.max(perSecond, MIN_PER_SECOND)) > 0;
  }

  private long gapNanos(BackendServer server, double perSecond) {
    double own = share.applyAsDouble(server, Math.max(perSecond, MIN_PER_SECOND));
    return own > 0 ? (long) (NANOS_PER_SECOND / own) : 0;
  }

  /** Removes the limits of backend servers that are gone. */
  void retain(Set<String> incarnations) {
    Set<String> ids =
        incarnations.stream().map(BackendServer::idOfIncarnation).collect(Collectors.toSet());
    limitById.keySet().retainAll(ids);
  }

  /** What is known of the rate of one backend server, and when the next request may be sent. */
  private static final class Limit {
    /** The server as it was started when it last answered; null if only others reported on it. */
    private BackendServer server;

    private OptionalDouble stated = OptionalDouble.empty();
    private long statedNanos;
    private double told;
    private long toldNanos;
    private boolean everTold;
    private long nextNanos;

    boolean isOfLaterStart(BackendServer answering) {
      return server != null && server.startedMillis() > answering.startedMillis();
    }

    /** Begins at a random moment within the gap, so that entries don't send at once. */
    void restart(long gapNanos, double random, long nowNanos) {
      nextNanos = nowNanos + (long) (gapNanos * random);
    }
  }
}
