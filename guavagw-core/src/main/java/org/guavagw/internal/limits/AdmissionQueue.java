package org.guavagw.internal.limits;

import com.google.common.base.Ticker;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.guavagw.internal.limits.AdmissionRefusal.Reason;

/**
 * Bounded queue in front of one pool of backend servers.
 *
 * <p>Invariants: no request is admitted while as many run as the limit says; interactive requests
 * go before long ones, but long ones keep a guaranteed share of the slots and take no more than a
 * maximum share; teams get work in proportion to their weights; a refusal is given as soon as it is
 * known. Thread-safe; only {@link #admit} blocks, the other methods take the time as an argument.
 */
public final class AdmissionQueue {
  private static final Duration INTERACTIVE_DRAIN_WINDOW = Duration.ofSeconds(2);
  private static final Duration LONG_DRAIN_WINDOW = Duration.ofSeconds(30);

  private static final Duration DEMAND_WINDOW = Duration.ofMinutes(5);

  private final AdmissionSettings settings;
  private final IntSupplier limit;
  private final Ticker ticker;

  @GuardedBy("this")
  private final Lane interactive = new Lane(INTERACTIVE_DRAIN_WINDOW);

  @GuardedBy("this")
  private final Lane longs = new Lane(LONG_DRAIN_WINDOW);

  @GuardedBy("this")
  private final TimeWeightedMean interactiveMean = new TimeWeightedMean(DEMAND_WINDOW);

  @GuardedBy("this")
  private boolean closed;

  /** A queue whose limit on requests in flight may differ with each call. */
  public AdmissionQueue(AdmissionSettings settings, IntSupplier limit, Ticker ticker) {
    this.settings = settings;
    this.limit = limit;
    this.ticker = ticker;
  }

  /** Waits until the request may run or is refused; an admission has to be released. */
  public Either<AdmissionRefusal, Admission> admit(AdmissionRequest request) {
    Either<AdmissionRefusal, Admission> offered = offer(request, ticker.read());
    if (offered.isLeft()) {
      return offered;
    }
    Admission admission = offered.get();
    awaitDecision(admission);
    Optional<AdmissionRefusal> refusal = admission.refusal();
    return refusal.isPresent() ? Either.left(refusal.get()) : offered;
  }

  /** Admits, queues or refuses at once. */
  public synchronized Either<AdmissionRefusal, Admission> offer(
      AdmissionRequest request, long nowNanos) {
    pump(nowNanos);
    Lane lane = lane(request);
    Optional<Reason> refusal = refuseEarly(lane, request, nowNanos);
    if (refusal.isPresent()) {
      return Either.left(lane.refusal(refusal.get(), nowNanos));
    }
    Admission admission = lane.enqueue(request, nowNanos);
    pump(nowNanos);
    return Either.right(admission);
  }

  /** Refuses what has passed its deadline and admits what fits. */
  public synchronized void poll(long nowNanos) {
    interactive.refuseExpired(nowNanos);
    longs.refuseExpired(nowNanos);
    pump(nowNanos);
  }

  /** Gives back the slot of an admitted request; a second call does nothing. */
  public void release(Admission admission) {
    release(admission, ticker.read());
  }

  /** Gives back the slot of an admitted request; a second call does nothing. */
  public synchronized void release(Admission admission, long nowNanos) {
    if (!admission.markReleased()) {
      return;
    }
    lane(admission.request()).onReleased(admission, nowNanos);
    pump(nowNanos);
  }

  /** Refuses everything that waits and all that comes later. */
  public synchronized void close() {
    closed = true;
    interactive.refuseAll(ticker.read());
    longs.refuseAll(ticker.read());
  }

  /** Requests that wait. */
  public synchronized int queued() {
    return interactive.queue().size() + longs.queue().size();
  }

  /** Requests that were admitted and not yet released. */
  public synchronized int inFlight() {
    return interactive.inFlight() + longs.inFlight();
  }

  private void awaitDecision(Admission admission) {
    try {
      while (!admission.isDecided()) {
        admission.awaitDecision(admission.request().deadlineNanos() - ticker.read());
        poll(ticker.read());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      withdraw(admission);
    }
  }

  private synchronized void withdraw(Admission admission) {
    if (!admission.isDecided()) {
      lane(admission.request()).refuse(admission, Reason.CLOSED, ticker.read());
    }
  }

  @GuardedBy("this")
  private Lane lane(AdmissionRequest request) {
    return request.requestClass() == RequestClass.INTERACTIVE ? interactive : longs;
  }

  @GuardedBy("this")
  private Optional<Reason> refuseEarly(Lane lane, AdmissionRequest request, long nowNanos) {
    if (closed) {
      return Optional.of(Reason.CLOSED);
    }
    if (request.deadlineNanos() - nowNanos <= 0) {
      return Optional.of(Reason.DEADLINE_PASSED);
    }
    if (lane.wouldMissDeadline(request, nowNanos)) {
      return Optional.of(Reason.WOULD_MISS_DEADLINE);
    }
    boolean fits = lane.queue().size() < settings.maxQueued();
    return fits || displaceFor(lane, request, nowNanos)
        ? Optional.empty()
        : Optional.of(Reason.QUEUE_FULL);
  }

  private static boolean displaceFor(Lane lane, AdmissionRequest request, long nowNanos) {
    Optional<Admission> victim = lane.queue().newestOfLargestTeam();
    if (victim.isEmpty()) {
      return false;
    }
    double largest = lane.queue().queuedPerWeight(victim.get().request());
    if (lane.queue().queuedPerWeight(request) >= largest) {
      return false;
    }
    lane.refuse(victim.get(), Reason.DISPLACED, nowNanos);
    return true;
  }

  @GuardedBy("this")
  private void pump(long nowNanos) {
    Optional<Lane> next = next(nowNanos);
    while (next.isPresent()) {
      next.get().decideNext(nowNanos);
      next = next(nowNanos);
    }
    interactiveMean.set(interactive.inFlight() + interactive.queue().size(), nowNanos);
  }

  @GuardedBy("this")
  private Optional<Lane> next(long nowNanos) {
    int max = limit.getAsInt();
    int running = interactive.inFlight() + longs.inFlight();
    boolean fits = running < max;
    double guaranteed = Math.max(1, settings.longGuaranteedShare() * max);
    if (fits && longs.waits() && longs.inFlight() < guaranteed) {
      return Optional.of(longs);
    }
    if (interactive.waits() && running < max * (1 + settings.interactiveOvercommit())) {
      return Optional.of(interactive);
    }
    boolean longFits = fits && longs.waits() && longs.inFlight() < longMax(max, nowNanos);
    return longFits ? Optional.of(longs) : Optional.empty();
  }

  @GuardedBy("this")
  private double longMax(int max, long nowNanos) {
    double wanted = settings.burstReserve() * interactiveMean.mean(nowNanos);
    return max - Math.min(wanted, settings.maxReserveShare() * max);
  }
}
