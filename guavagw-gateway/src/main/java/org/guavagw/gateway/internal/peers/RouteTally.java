package org.guavagw.gateway.internal.peers;

/**
 * How the answers of the new and the old versions of a service went on one route. Immutable.
 *
 * @param newAnswers answers of the new version, good and bad
 * @param newFailed those that failed
 * @param newTimed good answers whose time could be compared
 * @param newSlow those that took much longer than the old versions usually do
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
  /** Nothing seen. */
  public static final RouteTally NONE = new RouteTally(0, 0, 0, 0, 0, 0, 0, 0);

  /** What both have seen. */
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

  /** This and one more answer. */
  public RouteTally with(boolean onNew, boolean failed) {
    RouteTally one =
        onNew
            ? new RouteTally(1, failed ? 1 : 0, 0, 0, 0, 0, 0, 0)
            : new RouteTally(0, 0, 0, 0, 1, failed ? 1 : 0, 0, 0);
    return plus(one);
  }

  /** This and the time of one more good answer. */
  public RouteTally withTime(boolean onNew, boolean slow) {
    RouteTally one =
        onNew
            ? new RouteTally(0, 0, 1, slow ? 1 : 0, 0, 0, 0, 0)
            : new RouteTally(0, 0, 0, 0, 0, 0, 1, slow ? 1 : 0);
    return plus(one);
  }
}
