package org.guavagw.gateway.internal.peers;

import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What entries report to one another of requests and prompt parts that may end backend servers.
 * Immutable.
 *
 * @param suspects requests that waited on backend servers that ended of late
 * @param answeredRequests fingerprints among those of suspects that were answered of late
 * @param answeredParts parts among those of suspects with which a request was answered of late
 * @param heldRequests remaining seconds of holds by the fingerprint of the request
 * @param heldParts parts that the sender keeps away from backend servers by its own evidence
 */
public record QuarantineNotices(
    Set<CrashSuspect> suspects,
    Set<String> answeredRequests,
    Set<String> answeredParts,
    Map<String, Integer> heldRequests,
    Set<String> heldParts) {
  /** Nothing to report. */
  public static final QuarantineNotices NONE =
      new QuarantineNotices(Set.of(), Set.of(), Set.of(), Map.of(), Set.of());

  public QuarantineNotices {
    suspects = Set.copyOf(suspects);
    answeredRequests = Set.copyOf(answeredRequests);
    answeredParts = Set.copyOf(answeredParts);
    heldRequests = Map.copyOf(heldRequests);
    heldParts = Set.copyOf(heldParts);
  }

  // The generated method links method handles on first use, which slows down the start.
  @Override
  public boolean equals(Object other) {
    return other instanceof QuarantineNotices n
        && suspects.equals(n.suspects)
        && answeredRequests.equals(n.answeredRequests)
        && answeredParts.equals(n.answeredParts)
        && heldRequests.equals(n.heldRequests)
        && heldParts.equals(n.heldParts);
  }

  @Override
  public int hashCode() {
    return suspects.hashCode();
  }

  /** Returns about how many bytes this takes in a message. */
  long approximateBytes() {
    return suspects.stream().mapToLong(CrashSuspect::approximateBytes).sum()
        + MessageSizes.ofNames(answeredRequests)
        + MessageSizes.ofNames(answeredParts)
        + MessageSizes.ofNumbers(heldRequests.keySet())
        + MessageSizes.ofNames(heldParts);
  }

  /** Returns the suspects that others lack, with all that is reported of their requests. */
  QuarantineNotices newSuspectsSince(QuarantineNotices known) {
    Set<CrashSuspect> next = Sets.difference(suspects, known.suspects);
    Set<String> requests =
        next.stream().map(CrashSuspect::fingerprint).collect(Collectors.toUnmodifiableSet());
    Set<String> parts =
        next.stream().flatMap(s -> s.parts().stream()).collect(Collectors.toUnmodifiableSet());
    return new QuarantineNotices(
        next,
        Sets.intersection(answeredRequests, requests),
        Sets.intersection(answeredParts, parts),
        Maps.filterKeys(heldRequests, requests::contains),
        Sets.intersection(heldParts, parts));
  }

  /** Returns what both report. */
  QuarantineNotices plus(QuarantineNotices other) {
    if (other.equals(NONE)) {
      return this;
    }
    Map<String, Integer> held = new HashMap<>(heldRequests);
    other.heldRequests.forEach((request, seconds) -> held.merge(request, seconds, Math::max));
    return new QuarantineNotices(
        Sets.union(suspects, other.suspects),
        Sets.union(answeredRequests, other.answeredRequests),
        Sets.union(answeredParts, other.answeredParts),
        held,
        Sets.union(heldParts, other.heldParts));
  }
}
