package org.guavagw.gateway.internal.relay;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;

/**
 * Selects the entry that a request is forwarded to: one that reaches the service as far as it has
 * reported, of this data centre if possible, by the id of the request, so that all of them share
 * the load.
 *
 * <p>Entries of a data centre are often cut off together, so once one has been tried in vain, those
 * of other data centres come first. Traffic thread only.
 */
final class PeerSelector {
  /** How long an entry is avoided that could not be reached or serve a request. */
  static final Duration AVOIDANCE = Duration.ofMillis(500);

  private final Supplier<Members> members;
  private final PeerReach reach;
  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

  PeerSelector(Supplier<Members> members, PeerReach reach) {
    this.members = members;
    this.reach = reach;
  }

  /**
   * Returns the entry to try next.
   *
   * @param tried names of entries that the request was forwarded to before
   */
  Optional<Member> select(String requestId, String service, Set<String> tried, long nowNanos) {
    Members known = members.get();
    Set<String> triedDataCentres =
        known.others().stream()
            .filter(m -> tried.contains(m.name()))
            .map(Member::dataCentre)
            .collect(Collectors.toSet());
    return known.others().stream()
        .filter(m -> !tried.contains(m.name()))
        .filter(m -> !isAvoided(m.name(), nowNanos))
        .filter(m -> !reach.isCutOff(m.name(), service, nowNanos))
        .min(
            Comparator.comparing((Member m) -> triedDataCentres.contains(m.dataCentre()))
                .thenComparing(m -> !m.dataCentre().equals(known.localDataCentre()))
                .thenComparing(m -> score(m, requestId)));
  }

  private boolean isAvoided(String name, long nowNanos) {
    Long until = avoidedUntilNanos.get(name);
    return until != null && until - nowNanos > 0;
  }

  private static long score(Member member, String requestId) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(member.name(), StandardCharsets.UTF_8)
        .putString(requestId, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  /** Records that an entry could not be reached or refused a request. */
  void avoid(String name, long nowNanos) {
    avoidedUntilNanos.put(name, nowNanos + AVOIDANCE.toNanos());
  }

  /** Forgets entries that are no longer avoided. */
  void expire(long nowNanos) {
    avoidedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
  }
}
