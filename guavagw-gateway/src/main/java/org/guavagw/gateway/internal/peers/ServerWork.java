package org.guavagw.gateway.internal.peers;

import java.util.HashMap;
import java.util.Map;

/**
 * Work at backend servers, and what else is to be known of them. Immutable.
 *
 * @param byIncarnation work by incarnation, without backend servers that have none
 */
public record ServerWork(Map<String, Work> byIncarnation, ServerNotices notices) {
  /** What the work at one backend server takes in a message beside its name. */
  private static final int WORK_BYTES = 13;

  /** No work at any backend server. */
  public static final ServerWork NONE = new ServerWork(Map.of(), ServerNotices.NONE);

  public ServerWork {
    byIncarnation = Map.copyOf(byIncarnation);
  }

  // The generated method links method handles on first use, which slows down the start.
  @Override
  public boolean equals(Object other) {
    return other instanceof ServerWork w
        && byIncarnation.equals(w.byIncarnation)
        && notices.equals(w.notices);
  }

  @Override
  public int hashCode() {
    return byIncarnation.hashCode();
  }

  /** Returns notices without any work. */
  public static ServerWork ofNotices(ServerNotices notices) {
    return new ServerWork(Map.of(), notices);
  }

  /** Returns about how many bytes this takes in a message. */
  public long approximateBytes() {
    long work = byIncarnation.keySet().stream().mapToLong(name -> name.length() + WORK_BYTES).sum();
    return work + notices.approximateBytes();
  }

  /** Returns the work at a backend server. */
  public Work at(String incarnation) {
    return byIncarnation.getOrDefault(incarnation, Work.NONE);
  }

  /** Returns the sum of both. */
  public ServerWork plus(ServerWork other) {
    Map<String, Work> sum = new HashMap<>(byIncarnation);
    other.byIncarnation.forEach((incarnation, work) -> sum.merge(incarnation, work, Work::plus));
    return new ServerWork(sum, notices.plus(other.notices));
  }

  /** Returns this work without a part of it; all notices stay. */
  public ServerWork minus(ServerWork part) {
    Map<String, Work> rest = new HashMap<>(byIncarnation);
    part.byIncarnation.forEach(
        (incarnation, work) ->
            rest.computeIfPresent(incarnation, (i, all) -> all.minus(work).orNullIfNone()));
    return new ServerWork(rest, notices);
  }

  /**
   * Work at one backend server. Immutable.
   *
   * @param running number of requests sent and not yet answered
   * @param waitingMillis estimated prefill time of the prompts that are still to be processed
   */
  public record Work(int running, double waitingMillis) {
    /** No work. */
    public static final Work NONE = new Work(0, 0);

    @Override
    public boolean equals(Object other) {
      return other instanceof Work w
          && running == w.running
          && Double.compare(waitingMillis, w.waitingMillis) == 0;
    }

    @Override
    public int hashCode() {
      return running;
    }

    Work plus(Work other) {
      return new Work(running + other.running, waitingMillis + other.waitingMillis);
    }

    Work minus(Work part) {
      return new Work(running - part.running, Math.max(0, waitingMillis - part.waitingMillis));
    }

    private Work orNullIfNone() {
      return running > 0 ? this : null;
    }
  }
}
