package org.guavagw.gateway.internal.placement;

/**
 * The requests of other entries at one backend server, as expected from their reports.
 *
 * <p>A report tells of requests that may have ended when it arrives. The expected number therefore
 * moves from the last reported one to the mean of late, the faster the shorter requests last. Not
 * thread-safe.
 */
final class PeerLoad {
  /** Weight of the last report in the mean. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** Mean age of what a report tells when it arrives: half an interval and one hop. */
  private static final double AGE_ON_ARRIVAL_MILLIS = 120;

  private static final double NANOS_PER_MILLI = 1_000_000;

  private long version = -1;
  private int reported;
  private double mean;
  private long reportedNanos;

  /**
   * Takes the latest reports into account, once for each version of them; returns the time that
   * they cover in milliseconds, 0 if they are known already.
   */
  double update(int running, long reportVersion, long nanos) {
    if (reportVersion == version) {
      return 0;
    }
    boolean first = version < 0;
    double covered = first ? 0 : Math.max(0, (nanos - reportedNanos) / NANOS_PER_MILLI);
    mean = first ? running : mean + NEWEST_WEIGHT * (running - mean);
    version = reportVersion;
    reported = running;
    reportedNanos = nanos;
    return covered;
  }

  /**
   * Returns the expected number of running requests if each lasts this long on average. Work is
   * reported again before its age reaches the limit, so an older report tells of none.
   */
  double running(double durationMillis, long nowNanos) {
    if (nowNanos - reportedNanos > PeerWorkReports.MAX_AGE.toNanos()) {
      return 0;
    }
    double age = AGE_ON_ARRIVAL_MILLIS + (nowNanos - reportedNanos) / NANOS_PER_MILLI;
    return mean + (reported - mean) * Math.exp(-age / durationMillis);
  }

  double mean() {
    return mean;
  }

  /** Returns how long ago the latest report arrived. */
  long ageNanos(long nowNanos) {
    return version < 0 ? 0 : Math.max(0, nowNanos - reportedNanos);
  }
}
