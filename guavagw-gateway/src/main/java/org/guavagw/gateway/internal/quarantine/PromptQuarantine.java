package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.guavagw.gateway.internal.peers.CrashSuspect;
import org.guavagw.gateway.internal.peers.PromptNotices;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Keeps requests away from backend servers if a part of their prompt has ended several of them.
 *
 * <p>Protects a service from requests that are harmless to an entry but end every server that
 * begins to answer them. The evidence of all entries counts, so that the part is found before most
 * servers have ended. A part is held for a while; then one entry lets one request through as a
 * test, and an answer to it ends the hold everywhere.
 *
 * <p>Invariants: the last part of a prompt, which is the request's own, is never held; nor is a
 * part with which a request was answered within {@link AnsweredParts#MEMORY}. Not thread-safe.
 */
public final class PromptQuarantine {
  /** Time until the first test; leaves servers that ended time to return. */
  static final Duration FIRST_HOLD = Duration.ofSeconds(30);

  /** Longest time between tests; evidence outlives several of them. */
  static final Duration MAX_HOLD = Duration.ofMinutes(2);

  /** How much later than the entry before it in rank an entry tests, if that one has not. */
  private static final Duration TEST_STAGGER = Duration.ofSeconds(5);

  /** How long a hold that another entry told of lasts; it is told again several times meanwhile. */
  private static final Duration TOLD_HOLD = Duration.ofSeconds(3);

  private final IntSupplier rank;
  private final QuarantineListener listener;
  private final AnsweredParts answered = new AnsweredParts();
  private final AnsweredParts answeredElsewhere = new AnsweredParts();
  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<String, Hold> holds = new HashMap<>();
  private final Map<String, Long> toldHoldEndNanos = new HashMap<>();

  /**
   * Creates a quarantine that holds nothing.
   *
   * @param rank rank of this entry among those that test; 0 tests first
   */
  public PromptQuarantine(IntSupplier rank, QuarantineListener listener) {
    this.rank = rank;
    this.listener = listener;
  }

  /** Records that a backend server has begun to answer a request. */
  public void onAnswered(List<PromptPart> prompt, long nowNanos) {
    List<String> parts = sharedParts(prompt);
    parts.forEach(p -> answered.add(p, nowNanos));
    if (heldParts() > 0 && parts.stream().anyMatch(this::isHeld)) {
      review(nowNanos);
    }
  }

  private boolean isHeld(String part) {
    return holds.containsKey(part) || toldHoldEndNanos.containsKey(part);
  }

  /** Records that a backend server ended while a request waited for its answer there. */
  public void onServerEnded(String incarnation, List<PromptPart> prompt, long nowNanos) {
    List<String> parts = sharedParts(prompt);
    if (!parts.isEmpty()) {
      String own = prompt.get(prompt.size() - 1).id();
      addSuspect(new CrashSuspect(incarnation, own, parts), true, nowNanos);
    }
  }

  private void addSuspect(CrashSuspect suspect, boolean own, long nowNanos) {
    if (evidence.add(suspect, own, nowNanos)) {
      suspect.parts().stream()
          .map(holds::get)
          .filter(hold -> hold != null)
          .forEach(hold -> hold.onServerEnded(nowNanos));
      review(nowNanos);
    }
  }

  /** Takes note of what another entry tells. */
  public void onNotices(PromptNotices notices, long nowNanos) {
    notices.answeredParts().forEach(p -> answeredElsewhere.add(p, nowNanos));
    notices.suspects().forEach(s -> addSuspect(s, false, nowNanos));
    notices.heldParts().stream()
        .filter(p -> !isSound(p, nowNanos))
        .forEach(p -> toldHoldEndNanos.put(p, nowNanos + TOLD_HOLD.toNanos()));
    if (!notices.answeredParts().isEmpty()) {
      review(nowNanos);
    }
  }

  /** Returns what other entries are to be told. */
  public PromptNotices toTell(long nowNanos) {
    if (evidence.all().isEmpty() && holds.isEmpty() && toldHoldEndNanos.isEmpty()) {
      return PromptNotices.NONE;
    }
    Set<String> ownAnswered =
        Stream.concat(evidence.parts().stream(), toldHoldEndNanos.keySet().stream())
            .filter(p -> answered.contains(p, nowNanos))
            .collect(Collectors.toUnmodifiableSet());
    return new PromptNotices(evidence.toTell(nowNanos), ownAnswered, holds.keySet());
  }

  /** Returns whether a request must not be sent now. */
  public boolean holds(List<PromptPart> prompt, long nowNanos) {
    return untilTest(prompt, nowNanos).isPresent();
  }

  /** Returns the time until a request may be sent as a test; empty if it is not held. */
  public Optional<Duration> untilTest(List<PromptPart> prompt, long nowNanos) {
    if (holds.isEmpty() && toldHoldEndNanos.isEmpty()) {
      return Optional.empty();
    }
    return sharedParts(prompt).stream()
        .map(p -> remainingNanos(p, nowNanos))
        .max(Comparator.naturalOrder())
        .filter(nanos -> nanos > 0)
        .map(Duration::ofNanos);
  }

  private long remainingNanos(String part, long nowNanos) {
    Hold hold = holds.get(part);
    long own =
        hold == null ? 0 : hold.testNanos() + rank.getAsInt() * TEST_STAGGER.toNanos() - nowNanos;
    boolean told = hold == null && toldHoldEndNanos.containsKey(part);
    return told ? toldHoldEndNanos.get(part) - nowNanos : own;
  }

  /**
   * Records that a request is sent now; returns whether it is the test of a held part, after which
   * the part is held on until an answer comes.
   */
  public boolean onSent(List<PromptPart> prompt, long nowNanos) {
    if (holds.isEmpty()) {
      return false;
    }
    List<Hold> tested =
        sharedParts(prompt).stream().map(holds::get).filter(hold -> hold != null).toList();
    tested.forEach(hold -> hold.onTested(nowNanos));
    return !tested.isEmpty();
  }

  /**
   * Returns whether a request has a part with which none was answered of late, so that it may be
   * the cause if its server ends.
   */
  public boolean isUnproven(List<PromptPart> prompt, long nowNanos) {
    return sharedParts(prompt).stream().anyMatch(p -> !isSound(p, nowNanos));
  }

  /** Forgets what is old. */
  public void expire(long nowNanos) {
    toldHoldEndNanos.values().removeIf(end -> end - nowNanos <= 0);
    if (evidence.expire(nowNanos)) {
      review(nowNanos);
    }
  }

  /** Returns the number of parts that are held. */
  public int heldParts() {
    return holds.size() + toldHoldEndNanos.size();
  }

  private void review(long nowNanos) {
    Set<String> culprits = CulpritFinder.find(evidence.all(), p -> isSound(p, nowNanos));
    List<String> released = holds.keySet().stream().filter(p -> !culprits.contains(p)).toList();
    released.forEach(
        part -> {
          holds.remove(part);
          listener.onReleased(part);
        });
    toldHoldEndNanos.keySet().removeIf(p -> isSound(p, nowNanos));
    for (String part : culprits) {
      if (!holds.containsKey(part)) {
        holds.put(part, new Hold(nowNanos));
        listener.onHeld(part, FIRST_HOLD);
      }
    }
  }

  private boolean isSound(String part, long nowNanos) {
    return answered.contains(part, nowNanos) || answeredElsewhere.contains(part, nowNanos);
  }

  /** Returns the ids of all parts but the last one, which no other request has. */
  private static List<String> sharedParts(List<PromptPart> prompt) {
    return prompt.size() < 2
        ? List.of()
        : prompt.subList(0, prompt.size() - 1).stream().map(PromptPart::id).toList();
  }
}
