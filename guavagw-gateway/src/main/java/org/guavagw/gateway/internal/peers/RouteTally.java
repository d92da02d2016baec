package org.guavagw.gateway.internal.peers;

/**
 * Counts of the answers from the new and the old versions of a service on one route. Immutable.
 *
 * @param newAnswers answers of the new version, successful and failed
 * @param newFailed answers of the new version that failed
 * @param newTimed successful answers of the new version whose duration could be compared
 * @param newSlow answers among {@code newTimed} that took much longer than usual on the old
 *     versions
 */
public record RouteTally(
    int newAnswers,
    int newFailed,
    int newTimed,
    int newSlow,
    int oldAnswers,
    int oldFailed,
    int oldTimed,
    int oldSlow) {
  /** No answers. */
  public static final RouteTally NONE = new RouteTally(0, 0, 0, 0, 0, 0, 0, 0);

  /** Returns the sum of both tallies. */
  public RouteTally plus(RouteTally other) {
    return new RouteTally(
        newAnswers + other.newAnswers,
        newFailed + other.newFailed,
        newTimed + other.newTimed,
        newSlow + other.newSlow,
        oldAnswers + other.oldAnswers,
        oldFailed + other.oldFailed,
        oldTimed + other.oldTimed,
        oldSlow + other.oldSlow);
  }

  /** Returns this tally plus one answer. */
  public RouteTally plusAnswer(boolean onNew, boolean failed) {
    RouteTally one =
        onNew
            ? new RouteTally(1, failed ? 1 : 0, 0, 0, 0, 0, 0, 0)
            : new RouteTally(0, 0, 0, 0, 1, failed ? 1 : 0, 0, 0);
    return plus(one);
  }

  /** Returns this tally plus the timing of one successful answer. */
  public RouteTally plusTiming(boolean onNew, boolean slow) {
    RouteTally one =
        onNew
            ? new RouteTally(0, 0, 1, slow ? 1 : 0, 0, 0, 0, 0)
            : new RouteTally(0, 0, 0, 0, 0, 0, 1, slow ? 1 : 0);
    return plus(one);
  }
}
