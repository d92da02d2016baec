package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.guavagw.gateway.internal.peers.CrashSuspect;
import org.guavagw.gateway.internal.peers.QuarantineNotices;

/**
 * Keeps requests away from backend servers that they, or a part of their prompt, would end.
 *
 * <p>Protects a service from requests that are harmless to an entry but end every server that
 * begins to answer them. The evidence of all entries counts, so that the cause is found before most
 * servers have ended. A request that is found to be the cause is held until the evidence is old; a
 * prompt part for a while, after which one entry lets one request through as a test. Until it is
 * known whether a request that waited on a server that ended is the cause, only the entry that lost
 * it sends it again, and others that are the same are held.
 *
 * <p>Invariants: the last part of a prompt, which no other request has, is never held as a part; no
 * request or part is held that was answered within {@link RecentAnswers#MEMORY}. Not thread-safe.
 */
public final class RequestQuarantine {
  /** Time until the first test of a part; leaves servers that ended time to return. */
  static final Duration FIRST_HOLD = Duration.ofSeconds(30);

  /** Longest time between tests of a part; evidence outlives several of them. */
  static final Duration MAX_HOLD = Duration.ofMinutes(2);

  /** How long requests like a suspect are held: it is sent again and answered meanwhile. */
  static final Duration SUSPICION = Duration.ofSeconds(3);

  /**
   * Time after the first end of a server under a request in which other entries usually report that
   * one ended under the same request there too; short, as nearly all these requests are sound.
   */
  static final Duration FIRST_SETTLING_TIME = Duration.ofMillis(100);

  /** Longer than the notices of other entries on the end of a server are on their way. */
  static final Duration SETTLING_TIME = Duration.ofMillis(400);

  /**
   * How long after the end of a server other entries are notified of answers to the requests that
   * waited there; they are sent again and judged within less.
   */
  private static final Duration ANSWER_NOTICE_TIME = Duration.ofSeconds(10);

  private final QuarantineListener listener;
  private final Runnable onNewSuspect;
  private final RecentAnswers answeredRequests = new RecentAnswers();
  private final RecentAnswers answeredParts = new RecentAnswers();
  private final RecentAnswers requestsAnsweredElsewhere = new RecentAnswers();
  private final RecentAnswers partsAnsweredElsewhere = new RecentAnswers();
  private final CrashEvidence evidence = new CrashEvidence();
  private final HeldRequests heldRequests = new HeldRequests();
  private final HeldParts heldParts;

  /**
   * Creates a quarantine that holds nothing.
   *
   * @param rank rank of this entry among those that test prompt parts; 0 tests first
   * @param onNewSuspect runs when a suspect was learned that other entries should be notified of
   */
  public RequestQuarantine(IntSupplier rank, QuarantineListener listener, Runnable onNewSuspect) {
    this.listener = listener;
    this.onNewSuspect = onNewSuspect;
    this.heldParts = new HeldParts(rank, listener);
  }

  /** Records that a backend server has begun to answer a request. */
  public void onAnswered(RequestTraits request, long nowNanos) {
    answeredRequests.add(request.fingerprint(), nowNanos);
    request.sharedParts().forEach(p -> answeredParts.add(p, nowNanos));
    if (concernsCulprit(request)) {
      review(nowNanos);
    }
  }

  private boolean concernsCulprit(RequestTraits request) {
    return evidence.serversEnded(request.fingerprint()) > 0
        || request.sharedParts().stream().anyMatch(heldParts::contains);
  }

  /** Records that a backend server ended while a request waited for its answer there. */
  public void onServerEnded(String incarnation, RequestTraits request, long nowNanos) {
    addSuspect(
        new CrashSuspect(incarnation, request.fingerprint(), request.sharedParts()),
        true,
        nowNanos);
  }

  private void addSuspect(CrashSuspect suspect, boolean own, long nowNanos) {
    if (evidence.add(suspect, own, nowNanos)) {
      heldParts.onServerEnded(suspect.parts(), nowNanos);
      review(nowNanos);
      onNewSuspect.run();
    }
  }

  /** Takes note of what another entry reports. */
  public void onNotices(QuarantineNotices notices, long nowNanos) {
    notices.answeredRequests().forEach(r -> requestsAnsweredElsewhere.add(r, nowNanos));
    notices.answeredParts().forEach(p -> partsAnsweredElsewhere.add(p, nowNanos));
    notices.suspects().forEach(s -> addSuspect(s, false, nowNanos));
    notices.heldParts().stream()
        .filter(p -> !isSoundPart(p, nowNanos))
        .forEach(p -> heldParts.onReported(p, nowNanos));
    notices.heldRequests().entrySet().stream()
        .filter(e -> !isSoundRequest(e.getKey(), nowNanos))
        .forEach(e -> holdRequest(e.getKey(), Duration.ofSeconds(e.getValue()), nowNanos));
    if (!notices.answeredParts().isEmpty() || !notices.answeredRequests().isEmpty()) {
      review(nowNanos);
    }
  }

  private void holdRequest(String fingerprint, Duration length, long nowNanos) {
    if (heldRequests.hold(fingerprint, length, nowNanos)) {
      listener.onRequestHeld(fingerprint, length);
    }
  }

  /** Returns what other entries are to be notified of. */
  public QuarantineNotices notices(long nowNanos) {
    if (evidence.isEmpty() && heldRequests.isEmpty() && heldParts.isEmpty()) {
      return QuarantineNotices.NONE;
    }
    return new QuarantineNotices(
        evidence.recentOwn(nowNanos),
        select(
            evidence.requests().stream(),
            r ->
                evidence.sinceLastEnd(r, nowNanos).compareTo(ANSWER_NOTICE_TIME) < 0
                    && answeredRequests.contains(r, nowNanos)),
        select(
            Stream.concat(evidence.parts().stream(), heldParts.reported().stream()),
            p -> answeredParts.contains(p, nowNanos)),
        heldRequests.notices(nowNanos),
        heldParts.own());
  }

  private static Set<String> select(Stream<String> ids, Predicate<String> selected) {
    return ids.filter(selected).collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns the evidence of this entry against the requests and parts that are held, which is to
   * outlast the process; without parts that are not held.
   */
  public List<TimedSuspect> ownSuspects() {
    if (heldRequests.isEmpty() && heldParts.isEmpty()) {
      return List.of();
    }
    return evidence.latestOwn(this::isHeld).stream()
        .map(s -> new TimedSuspect(withHeldParts(s.suspect()), s.learnedNanos(), true))
        .distinct()
        .toList();
  }

  private boolean isHeld(CrashSuspect suspect) {
    return heldRequests.contains(suspect.fingerprint())
        || suspect.parts().stream().anyMatch(heldParts::contains);
  }

  private CrashSuspect withHeldParts(CrashSuspect suspect) {
    List<String> held = suspect.parts().stream().filter(heldParts::contains).toList();
    return new CrashSuspect(suspect.incarnation(), suspect.fingerprint(), held);
  }

  /** Takes note of the evidence that entries saved, some of which have restarted since. */
  public void onRead(List<TimedSuspect> suspects, long nowNanos) {
    boolean added = false;
    for (TimedSuspect read : suspects) {
      long age = Math.max(0, nowNanos - read.learnedNanos());
      if (age < CrashEvidence.MEMORY.toNanos()) {
        added |= evidence.add(read.suspect(), read.own(), nowNanos - age);
      }
    }
    if (added) {
      review(nowNanos);
    }
  }

  /**
   * Returns the time for which a request must not be sent; empty if it may be sent now.
   *
   * @param retry whether this very request was lost with a server that ended
   */
  public Optional<Duration> untilAllowed(RequestTraits request, boolean retry, long nowNanos) {
    if (retry && evidence.serversEnded(request.fingerprint()) > 1) {
      review(nowNanos);
    }
    Optional<Duration> held = heldRequests.remaining(request.fingerprint(), nowNanos);
    if (held.isPresent()) {
      return held;
    }
    Optional<Duration> untilTest = heldParts.untilTest(request.sharedParts(), nowNanos);
    return untilTest.isPresent() || retry ? untilTest : underSuspicion(request, nowNanos);
  }

  private Optional<Duration> underSuspicion(RequestTraits request, long nowNanos) {
    String fingerprint = request.fingerprint();
    if (evidence.serversEnded(fingerprint) == 0 || isSoundRequest(fingerprint, nowNanos)) {
      return Optional.empty();
    }
    return Optional.of(SUSPICION.minus(evidence.sinceLastEnd(fingerprint, nowNanos)))
        .filter(left -> !left.isNegative() && !left.isZero());
  }

  /**
   * Returns the time until a request under which servers ended can be judged, as other entries may
   * have lost the same request, or others on the same servers; zero if it need not wait.
   */
  public Duration untilSettled(RequestTraits request, long nowNanos) {
    String fingerprint = request.fingerprint();
    int servers = evidence.serversEnded(fingerprint);
    if (servers == 0 || isSoundRequest(fingerprint, nowNanos)) {
      return Duration.ZERO;
    }
    Duration settling = servers == 1 ? FIRST_SETTLING_TIME : SETTLING_TIME;
    Duration left = settling.minus(evidence.sinceLastEnd(fingerprint, nowNanos));
    return left.isNegative() ? Duration.ZERO : left;
  }

  /**
   * Records that a request is sent now; returns whether it is the test of a held prompt part, after
   * which the part is held on until an answer comes.
   */
  public boolean onSent(RequestTraits request, long nowNanos) {
    return heldParts.onSent(request.sharedParts(), nowNanos);
  }

  /** Returns whether a request was not answered of late, so that it may end its server. */
  public boolean isUnproven(RequestTraits request, long nowNanos) {
    return !isSoundRequest(request.fingerprint(), nowNanos);
  }

  /** Forgets what is old, and judges what has settled. */
  public void expire(long nowNanos) {
    heldParts.expire(nowNanos);
    boolean expired = evidence.expire(nowNanos);
    if (expired || !evidence.isEmpty() || !heldRequests.isEmpty()) {
      review(nowNanos);
    }
  }

  /** Returns the number of prompt parts that are held. */
  public int heldPartCount() {
    return heldParts.count();
  }

  /** Returns the number of requests that are held. */
  public int heldRequestCount() {
    return heldRequests.count();
  }

  private void review(long nowNanos) {
    Culprits culprits =
        CulpritFinder.find(
            evidence.all(), r -> isSoundRequest(r, nowNanos), p -> isSoundPart(p, nowNanos));
    heldParts.update(culprits.parts(), nowNanos);
    heldParts.removeReportedIf(p -> isSoundPart(p, nowNanos));
    heldRequests.expire(nowNanos);
    heldRequests.removeIf(r -> isSoundRequest(r, nowNanos)).forEach(listener::onRequestReleased);
    culprits.requests().forEach(r -> holdIfSettled(r, nowNanos));
  }

  private void holdIfSettled(String fingerprint, long nowNanos) {
    Duration known = evidence.sinceLastEnd(fingerprint, nowNanos);
    if (known.compareTo(SETTLING_TIME) >= 0 && known.compareTo(HeldRequests.HOLD) < 0) {
      holdRequest(fingerprint, HeldRequests.HOLD.minus(known), nowNanos);
    }
  }

  private boolean isSoundRequest(String fingerprint, long nowNanos) {
    return answeredRequests.contains(fingerprint, nowNanos)
        || requestsAnsweredElsewhere.contains(fingerprint, nowNanos);
  }

  private boolean isSoundPart(String part, long nowNanos) {
    return answeredParts.contains(part, nowNanos)
        || partsAnsweredElsewhere.contains(part, nowNanos);
  }
}
