package org.guavagw.gateway.internal.peers;

/**
 * Counts of the answers from the new and the old versions of a service on one route. Immutable.
 *
 * @param newVersion answers of the new version
 * @param oldVersions answers of the old versions
 */
public record RouteTally(Answers newVersion, Answers oldVersions) {
  /** No answers. */
  public static final RouteTally NONE = new RouteTally(Answers.NONE, Answers.NONE);

  /** Returns the sum of both tallies. */
  public RouteTally plus(RouteTally other) {
    return new RouteTally(newVersion.plus(other.newVersion), oldVersions.plus(other.oldVersions));
  }

  /** Returns the tally of one answer. */
  public static RouteTally ofAnswer(boolean onNew, boolean failed) {
    return of(onNew, new Answers(1, failed ? 1 : 0, 0, 0, 0, 0, 0));
  }

  /** Returns the tally of the timing of one successful answer. */
  public static RouteTally ofTiming(boolean onNew, boolean slow, boolean verySlow) {
    return of(onNew, new Answers(0, 0, 1, slow ? 1 : 0, verySlow ? 1 : 0, 0, 0));
  }

  /** Returns the tally of the pace of the events of one answer. */
  public static RouteTally ofPace(boolean onNew, boolean slow) {
    return of(onNew, new Answers(0, 0, 0, 0, 0, 1, slow ? 1 : 0));
  }

  private static RouteTally of(boolean onNew, Answers one) {
    return onNew ? new RouteTally(one, Answers.NONE) : new RouteTally(Answers.NONE, one);
  }

  /**
   * Counts of answers. Immutable.
   *
   * @param all answers, successful and failed
   * @param failed answers that failed
   * @param timed successful answers whose time could be compared
   * @param slow answers among {@code timed} that took longer than usual on the old versions
   * @param verySlow answers among {@code slow} that took much longer
   * @param paced answers whose pace of events could be compared
   * @param slowlyPaced answers among {@code paced} whose events took longer than usual
   */
  public record Answers(
      int all, int failed, int timed, int slow, int verySlow, int paced, int slowlyPaced) {
    /** No answers. */
    public static final Answers NONE = new Answers(0, 0, 0, 0, 0, 0, 0);

    private Answers plus(Answers other) {
      return new Answers(
          all + other.all,
          failed + other.failed,
          timed + other.timed,
          slow + other.slow,
          verySlow + other.verySlow,
          paced + other.paced,
          slowlyPaced + other.slowlyPaced);
    }
  }
}
