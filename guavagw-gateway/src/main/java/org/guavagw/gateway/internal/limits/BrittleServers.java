package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.guavagw.gateway.model.BackendServer;

/**
 * Keeps requests away from brittle backend servers that have no room for them.
 *
 * <p>Protects a server that falls over if it has to turn more than a stated number of requests away
 * in a second. No entry sends to a brittle server whose slots are taken by the requests of all
 * entries, as far as they are known here. After a rejection all entries are notified and wait,
 * unless the server has emptied meanwhile. A few of them try again, so seldom that they stay below
 * the stated number together; the others do so once no rejection is reported any more. Not
 * thread-safe.
 */
public final class BrittleServers {
  /** How long a report of another entry holds; it is repeated meanwhile. */
  static final Duration REPORT_MEMORY = Duration.ofSeconds(3);

  /** How long other entries are notified of a rejection. */
  static final Duration REJECTION_NOTICE = Duration.ofMillis(500);

  /** Shortest time without a request after a rejection. */
  static final Duration MIN_BACKOFF = Duration.ofMillis(300);

  /** Longest time without a request after a rejection; the server may long have room again. */
  static final Duration MAX_BACKOFF = Duration.ofSeconds(8);

  /** How long a server is assumed to take no more requests than when it rejected one. */
  private static final Duration ROOM_MEMORY = Duration.ofSeconds(5);

  /** Part of the slots that is used; requests of other entries are reported with a delay. */
  private static final double USED_SHARE = 0.9;

  /** Part of its room below which a server has emptied since it rejected a request. */
  private static final double EMPTIED_SHARE = 0.5;

  /** Part of the stated rejections that entries may cause. */
  private static final double CAUSED_SHARE = 0.25;

  /** Entries that try again whether a server has room; two, as one may be down. */
  public static final int TESTERS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  private final ToIntFunction<BackendServer> inFlight;
  private final Predicate<BackendServer> tests;
  private final DoubleSupplier random;
  private final Map<String, State> states = new HashMap<>();

  /**
   * Creates a policy that knows of no brittle server.
   *
   * @param inFlight returns the requests of all entries at a server
   * @param tests returns whether this entry is one of the {@link #TESTERS} of a server
   * @param random source of numbers from 0 to 1, different on each entry
   */
  public BrittleServers(
      ToIntFunction<BackendServer> inFlight,
      Predicate<BackendServer> tests,
      DoubleSupplier random) {
    this.inFlight = inFlight;
    this.tests = tests;
    this.random = random;
  }

  /**
   * Records what an answer of a server states; returns whether that is another number than before.
   */
  boolean onStatement(String incarnation, OptionalDouble tolerated, long nowNanos) {
    State state = states.get(incarnation);
    if (state == null && tolerated.isEmpty()) {
      return false;
    }
    if (state == null) {
      state = new State();
      states.put(incarnation, state);
    }
    boolean changed = !state.stated.equals(tolerated);
    state.stated = tolerated;
    if (tolerated.isEmpty()) {
      state.reported = OptionalDouble.empty();
    }
    return changed;
  }

  /** Records that a server turned a request away; returns whether it is brittle. */
  boolean onRejected(BackendServer server, long nowNanos) {
    State state = states.get(server.incarnation());
    if (state == null || state.tolerated(nowNanos).isEmpty()) {
      return false;
    }
    state.room = Math.max(1, inFlight.applyAsInt(server));
    state.rejectionNanos = nowNanos;
    state.rejected = true;
    state.server = server;
    state.backOff(backoffNanos(state, nowNanos), nowNanos);
    return true;
  }

  private long backoffNanos(State state, long nowNanos) {
    double tolerated = state.tolerated(nowNanos).orElse(0);
    boolean testsServer = state.server != null && tests.test(state.server);
    double seconds =
        testsServer && tolerated > 0
            ? TESTERS / (tolerated * CAUSED_SHARE)
            : MAX_BACKOFF.toSeconds();
    long nanos = (long) (NANOS_PER_SECOND * seconds * (0.75 + random.getAsDouble() / 2));
    return Math.min(MAX_BACKOFF.toNanos(), Math.max(MIN_BACKOFF.toNanos(), nanos));
  }

  /** Shortens a wait that began when it was not known yet whether this entry tests the server. */
  private void shortenBackoffOfTester(State state, long nowNanos) {
    if (state.isBackedOff(nowNanos) && tests.test(state.server)) {
      long nanos = backoffNanos(state, nowNanos);
      state.backOff(Math.min(nanos, state.backoffEndNanos - nowNanos), nowNanos);
    }
  }

  /** Records what another entry reports of brittle servers, and of those that are full. */
  void onReport(Map<String, Double> brittle, Set<String> full, long nowNanos) {
    brittle.forEach(
        (incarnation, tolerated) -> {
          State state = states.computeIfAbsent(incarnation, i -> new State());
          state.reported = OptionalDouble.of(tolerated);
          state.reportedUntilNanos = nowNanos + REPORT_MEMORY.toNanos();
          boolean testsServer = state.server != null && tests.test(state.server);
          if (full.contains(incarnation) && !(testsServer && state.isBackedOff(nowNanos))) {
            state.backOff(backoffNanos(state, nowNanos), nowNanos);
          }
        });
  }

  /** Returns the brittle servers that this entry has read of, and the rejections they tolerate. */
  Map<String, Double> brittle() {
    Map<String, Double> brittle = new HashMap<>();
    states.forEach(
        (incarnation, state) ->
            state.stated.ifPresent(tolerated -> brittle.put(incarnation, tolerated)));
    return brittle;
  }

  /** Returns the brittle servers that turned a request of this entry away a moment ago. */
  Set<String> full(long nowNanos) {
    Set<String> full = new HashSet<>();
    states.forEach(
        (incarnation, state) -> {
          if (state.rejected && nowNanos - state.rejectionNanos < REJECTION_NOTICE.toNanos()) {
            full.add(incarnation);
          }
        });
    return full;
  }

  /** Returns whether a request may be sent now. */
  boolean allows(BackendServer server, long nowNanos) {
    return untilNext(server, nowNanos).isZero();
  }

  /** Returns the time until a request may be sent, as far as that is known; zero if it may be. */
  Duration untilNext(BackendServer server, long nowNanos) {
    State state = states.get(server.incarnation());
    if (state == null || state.tolerated(nowNanos).isEmpty()) {
      return Duration.ZERO;
    }
    boolean first = state.server == null;
    state.server = server;
    if (first) {
      shortenBackoffOfTester(state, nowNanos);
    }
    int taken = inFlight.applyAsInt(server);
    int room = state.room(server, nowNanos);
    if (taken >= room) {
      return MIN_BACKOFF;
    }
    // Requests may exceed the room at the last rejection before the wait for it has ended.
    boolean emptied = taken < Math.min(room, state.room) * EMPTIED_SHARE && state.room > 1;
    return state.isBackedOff(nowNanos) && !emptied
        ? Duration.ofNanos(state.backoffEndNanos - nowNanos)
        : Duration.ZERO;
  }

  /** Removes the state of backend servers that are gone. */
  void retain(Set<String> incarnations) {
    states.keySet().retainAll(incarnations);
  }

  /** What is known of one server. */
  private static final class State {
    private BackendServer server;
    private OptionalDouble stated = OptionalDouble.empty();
    private OptionalDouble reported = OptionalDouble.empty();
    private long reportedUntilNanos;
    private boolean rejected;
    private long rejectionNanos;
    private boolean backedOff;
    private long backoffEndNanos;
    private int room;

    OptionalDouble tolerated(long nowNanos) {
      if (stated.isPresent()) {
        return stated;
      }
      return reportedUntilNanos - nowNanos > 0 ? reported : OptionalDouble.empty();
    }

    void backOff(long nanos, long nowNanos) {
      backoffEndNanos = nowNanos + nanos;
      backedOff = true;
    }

    boolean isBackedOff(long nowNanos) {
      return backedOff && backoffEndNanos - nowNanos > 0;
    }

    int room(BackendServer server, long nowNanos) {
      int slots = Math.max(1, (int) Math.floor(server.slots() * USED_SHARE));
      boolean known = rejected && nowNanos - rejectionNanos < ROOM_MEMORY.toNanos();
      return known ? Math.min(slots, room) : slots;
    }
  }
}
