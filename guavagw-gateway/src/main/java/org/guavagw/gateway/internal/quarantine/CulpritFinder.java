package org.guavagw.gateway.internal.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.guavagw.gateway.internal.peers.CrashSuspect;

/**
 * Finds the requests and the prompt parts that explain why backend servers ended.
 *
 * <p>A server that ends takes requests with it that have nothing to do with its end, and a request
 * that ends servers has parts that are sound. The request or part that was waited for on most of
 * the servers is taken first, and with a request all others that waited on exactly these servers if
 * there are decisively many; the servers that it explains no longer count against others.
 * Stateless.
 */
final class CulpritFinder {
  /** Servers that end for other reasons seldom take requests with one rare part so often. */
  private static final int MIN_SERVERS_OF_PART = 3;

  /** One request alone doesn't tell which of its parts it was, or whether it was the whole. */
  private static final int MIN_REQUESTS_OF_PART = 2;

  /** A request that waited on so many servers is taken for the cause if no other did. */
  private static final int MIN_SERVERS_OF_REQUEST = 2;

  /** A request that waited on so many servers is taken for the cause in any case. */
  private static final int DECISIVE_SERVERS_OF_REQUEST = 3;

  /** Of a request and its parts, which were always seen together, the request is the narrower. */
  private static final Comparator<Tally> BY_EVIDENCE =
      Comparator.comparingInt((Tally t) -> t.servers.size())
          .thenComparing(t -> t.isRequest)
          .thenComparingInt(t -> t.requests.size())
          .thenComparingInt(t -> t.position)
          .thenComparing(t -> t.id);

  private CulpritFinder() {}

  /**
   * Returns what explains the ends of backend servers.
   *
   * @param soundRequest whether a request is known not to end servers
   * @param soundPart whether a part is known not to end servers
   */
  static Culprits find(
      Collection<CrashSuspect> suspects,
      Predicate<String> soundRequest,
      Predicate<String> soundPart) {
    Set<String> requests = new HashSet<>();
    Set<String> parts = new HashSet<>();
    List<CrashSuspect> unexplained = new ArrayList<>(suspects);
    List<Tally> candidates = candidates(unexplained, soundRequest, soundPart);
    while (!candidates.isEmpty()) {
      Tally culprit = Collections.max(candidates, BY_EVIDENCE);
      (culprit.isRequest ? requests : parts).add(culprit.id);
      candidates.stream().filter(t -> isAsLikely(t, culprit)).forEach(t -> requests.add(t.id));
      unexplained.removeIf(s -> culprit.servers.contains(s.incarnation()));
      candidates = candidates(unexplained, soundRequest, soundPart);
    }
    return new Culprits(requests, parts);
  }

  private static List<Tally> candidates(
      List<CrashSuspect> suspects, Predicate<String> soundRequest, Predicate<String> soundPart) {
    Map<String, Tally> byRequest = new HashMap<>();
    Map<String, Tally> byPart = new HashMap<>();
    for (CrashSuspect suspect : suspects) {
      String request = suspect.fingerprint();
      if (!soundRequest.test(request)) {
        byRequest.computeIfAbsent(request, id -> new Tally(id, true)).add(suspect, 0);
      }
      for (int i = 0; i < suspect.parts().size(); i++) {
        String part = suspect.parts().get(i);
        if (!soundPart.test(part)) {
          byPart.computeIfAbsent(part, id -> new Tally(id, false)).add(suspect, i);
        }
      }
    }
    List<Tally> candidates = new ArrayList<>();
    byRequest.values().stream()
        .filter(t -> isEligible(t, byRequest.values()))
        .forEach(candidates::add);
    byPart.values().stream().filter(CulpritFinder::isEligiblePart).forEach(candidates::add);
    return candidates;
  }

  /** Returns whether a request waited on the same servers as the one that was taken. */
  private static boolean isAsLikely(Tally other, Tally culprit) {
    return culprit.isRequest
        && other.isRequest
        && other.servers.size() >= DECISIVE_SERVERS_OF_REQUEST
        && other.servers.equals(culprit.servers);
  }

  private static boolean isEligible(Tally request, Collection<Tally> all) {
    int servers = request.servers.size();
    return servers >= DECISIVE_SERVERS_OF_REQUEST
        || (servers >= MIN_SERVERS_OF_REQUEST
            && all.stream().noneMatch(t -> t != request && t.servers.containsAll(request.servers)));
  }

  private static boolean isEligiblePart(Tally part) {
    return part.servers.size() >= MIN_SERVERS_OF_PART
        && part.requests.size() >= MIN_REQUESTS_OF_PART;
  }

  /** The ends of servers while one request, or requests with one part, waited there. */
  private static final class Tally {
    private final String id;
    private final boolean isRequest;
    private final Set<String> servers = new HashSet<>();
    private final Set<String> requests = new HashSet<>();
    private int position;

    Tally(String id, boolean isRequest) {
      this.id = id;
      this.isRequest = isRequest;
    }

    void add(CrashSuspect suspect, int atPosition) {
      servers.add(suspect.incarnation());
      requests.add(suspect.fingerprint());
      position = Math.max(position, atPosition);
    }
  }
}
