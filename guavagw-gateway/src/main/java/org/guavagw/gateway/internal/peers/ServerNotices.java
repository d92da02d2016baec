package org.guavagw.gateway.internal.peers;

import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What entries report to one another of backend servers beside the work there. Immutable.
 *
 * <p>Notices of several entries are joined on their way; each is true on its own, so it does no
 * harm that one arrives twice.
 *
 * @param leaving incarnations that said of late that they are leaving
 * @param requestLimits requests per second that backend servers take from all entries together, by
 *     incarnation
 * @param brittle rejections in a second that brittle backend servers tolerate, by incarnation
 * @param full brittle backend servers that turned a request away a moment ago
 * @param quarantine requests and prompt parts that may end backend servers
 */
public record ServerNotices(
    Set<String> leaving,
    Map<String, Double> requestLimits,
    Map<String, Double> brittle,
    Set<String> full,
    QuarantineNotices quarantine) {
  /** Nothing to report. */
  public static final ServerNotices NONE =
      new ServerNotices(Set.of(), Map.of(), Map.of(), Set.of(), QuarantineNotices.NONE);

  public ServerNotices {
    leaving = Set.copyOf(leaving);
    requestLimits = Map.copyOf(requestLimits);
    brittle = Map.copyOf(brittle);
    full = Set.copyOf(full);
  }

  /** Returns these notices with others on the quarantine. */
  public ServerNotices withQuarantine(QuarantineNotices others) {
    return new ServerNotices(leaving, requestLimits, brittle, full, others);
  }

  /** Returns whether others must be notified at once of something that these notices lack. */
  public boolean areOutdatedBy(ServerNotices next) {
    return !quarantine.suspects().containsAll(next.quarantine.suspects())
        || !full.containsAll(next.full);
  }

  /**
   * Returns what of these notices others must be notified of at once, with all that is needed to
   * understand it.
   *
   * @param known what the others were notified of before
   */
  public ServerNotices urgentSince(ServerNotices known) {
    Set<String> nextFull = Set.copyOf(Sets.difference(full, known.full));
    return new ServerNotices(
        Set.of(),
        Map.of(),
        Maps.filterKeys(brittle, nextFull::contains),
        nextFull,
        quarantine.newSuspectsSince(known.quarantine));
  }

  /** Returns about how many bytes this takes in a message. */
  long approximateBytes() {
    return MessageSizes.ofNames(leaving)
        + MessageSizes.ofNumbers(requestLimits.keySet())
        + MessageSizes.ofNumbers(brittle.keySet())
        + MessageSizes.ofNames(full)
        + quarantine.approximateBytes();
  }

  // The generated method links method handles on first use, which slows down the start.
  @Override
  public boolean equals(Object other) {
    return other instanceof ServerNotices n
        && leaving.equals(n.leaving)
        && requestLimits.equals(n.requestLimits)
        && brittle.equals(n.brittle)
        && full.equals(n.full)
        && quarantine.equals(n.quarantine);
  }

  @Override
  public int hashCode() {
    return leaving.hashCode();
  }

  /** Returns what both report. */
  ServerNotices plus(ServerNotices other) {
    if (other.equals(NONE)) {
      return this;
    }
    return new ServerNotices(
        Sets.union(leaving, other.leaving),
        lowest(requestLimits, other.requestLimits),
        lowest(brittle, other.brittle),
        Sets.union(full, other.full),
        quarantine.plus(other.quarantine));
  }

  private static Map<String, Double> lowest(Map<String, Double> one, Map<String, Double> other) {
    Map<String, Double> lowest = new HashMap<>(one);
    other.forEach((incarnation, number) -> lowest.merge(incarnation, number, Math::min));
    return lowest;
  }
}
