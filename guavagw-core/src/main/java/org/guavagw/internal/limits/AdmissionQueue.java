package org.guavagw.internal.limits;

import com.google.common.base.Ticker;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.guavagw.internal.limits.AdmissionRefusal.Reason;

/**
 * Bounded queue of requests for one target.
 *
 * <p>Invariants: requests are admitted only while fewer are in flight than the limit, which
 * interactive requests may exceed by the overcommit share; interactive requests take precedence
 * over long ones, except that long ones have a guaranteed share of the slots, and are bounded by a
 * maximum share; teams are served in proportion to their weights; requests are refused as soon as
 * it is known that they cannot be served. Thread-safe; only {@link #admit} blocks, the other
 * methods take the time as an argument.
 */
public final class AdmissionQueue {
  private static final Duration INTERACTIVE_COMPLETION_WINDOW = Duration.ofSeconds(2);
  private static final Duration LONG_COMPLETION_WINDOW = Duration.ofSeconds(30);

  private static final Duration DEMAND_WINDOW = Duration.ofMinutes(5);

  private final AdmissionSettings settings;
  private final IntSupplier limit;
  private final Ticker ticker;

  @GuardedBy("this")
  private final RequestClassQueue interactive =
      new RequestClassQueue(INTERACTIVE_COMPLETION_WINDOW);

  @GuardedBy("this")
  private final RequestClassQueue longRequests = new RequestClassQueue(LONG_COMPLETION_WINDOW);

  @GuardedBy("this")
  private final TimeWeightedMean interactiveMean = new TimeWeightedMean(DEMAND_WINDOW);

  @GuardedBy("this")
  private boolean closed;

  /** Creates a queue; the limit on requests in flight is read anew for each decision. */
  public AdmissionQueue(AdmissionSettings settings, IntSupplier limit, Ticker ticker) {
    this.settings = settings;
    this.limit = limit;
    this.ticker = ticker;
  }

  /** Waits until the request is admitted or refused; an admission must be released. */
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

  /** Admits, queues or refuses a request without blocking. */
  public synchronized Either<AdmissionRefusal, Admission> offer(
      AdmissionRequest request, long nowNanos) {
    admitQueued(nowNanos);
    RequestClassQueue classQueue = classQueue(request);
    Admission admission = new Admission(request, nowNanos);
    Optional<Reason> refusal = refusalReason(classQueue, admission, nowNanos);
    if (refusal.isPresent()) {
      return Either.left(classQueue.refusal(refusal.get(), nowNanos));
    }
    classQueue.enqueue(admission);
    admitQueued(nowNanos);
    return Either.right(admission);
  }

  /** Refuses requests that can no longer meet their deadline, and admits queued ones that fit. */
  public synchronized void poll(long nowNanos) {
    interactive.refuseExpired(nowNanos);
    longRequests.refuseExpired(nowNanos);
    admitQueued(nowNanos);
  }

  /** Releases the slot of an admitted request; repeated calls do nothing. */
  public void release(Admission admission) {
    release(admission, ticker.read());
  }

  /** Releases the slot of an admitted request; repeated calls do nothing. */
  public synchronized void release(Admission admission, long nowNanos) {
    if (!admission.markReleased()) {
      return;
    }
    classQueue(admission.request()).onReleased(admission, nowNanos);
    admitQueued(nowNanos);
  }

  /** Refuses all queued requests and all later ones. */
  public synchronized void close() {
    closed = true;
    interactive.refuseAll(ticker.read());
    longRequests.refuseAll(ticker.read());
  }

  /** Returns the number of queued requests. */
  public synchronized int queued() {
    return interactive.queue().size() + longRequests.queue().size();
  }

  /** Returns the number of requests that were admitted and not yet released. */
  public synchronized int inFlight() {
    return interactive.inFlight() + longRequests.inFlight();
  }

  private void awaitDecision(Admission admission) {
    try {
      while (!admission.isDecided()) {
        admission.awaitDecision(admission.request().deadlineNanos() - ticker.read());
        poll(ticker.read());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      cancel(admission);
    }
  }

  private synchronized void cancel(Admission admission) {
    if (!admission.isDecided()) {
      classQueue(admission.request()).refuse(admission, Reason.CLOSED, ticker.read());
    }
  }

  @GuardedBy("this")
  private RequestClassQueue classQueue(AdmissionRequest request) {
    return request.requestClass() == RequestClass.INTERACTIVE ? interactive : longRequests;
  }

  @GuardedBy("this")
  private Optional<Reason> refusalReason(
      RequestClassQueue classQueue, Admission admission, long nowNanos) {
    if (closed) {
      return Optional.of(Reason.CLOSED);
    }
    if (admission.request().deadlineNanos() - nowNanos <= 0) {
      return Optional.of(Reason.DEADLINE_PASSED);
    }
    if (classQueue.wouldMissDeadline(admission, nowNanos)) {
      return Optional.of(Reason.WOULD_MISS_DEADLINE);
    }
    boolean fits = classQueue.queue().size() < settings.maxQueued();
    return fits || tryDisplace(classQueue, admission, nowNanos)
        ? Optional.empty()
        : Optional.of(Reason.QUEUE_FULL);
  }

  private static boolean tryDisplace(
      RequestClassQueue classQueue, Admission admission, long nowNanos) {
    Optional<Admission> newestOfLargest = classQueue.queue().newestOfLargestTeam();
    if (newestOfLargest.isEmpty()) {
      return false;
    }
    double largest = classQueue.queue().queuedPerWeight(newestOfLargest.get());
    if (classQueue.queue().queuedPerWeight(admission) >= largest) {
      return false;
    }
    classQueue.refuse(newestOfLargest.get(), Reason.DISPLACED, nowNanos);
    return true;
  }

  @GuardedBy("this")
  private void admitQueued(long nowNanos) {
    Optional<RequestClassQueue> nextQueue = nextQueue(nowNanos);
    while (nextQueue.isPresent()) {
      nextQueue.get().decideNext(nowNanos);
      nextQueue = nextQueue(nowNanos);
    }
    interactiveMean.set(interactive.inFlight() + interactive.queue().size(), nowNanos);
  }

  @GuardedBy("this")
  private Optional<RequestClassQueue> nextQueue(long nowNanos) {
    int max = limit.getAsInt();
    int running = interactive.inFlight() + longRequests.inFlight();
    boolean fits = running < max;
    double guaranteed = Math.max(1, settings.longGuaranteedShare() * max);
    if (fits && longRequests.hasQueued() && longRequests.inFlight() < guaranteed) {
      return Optional.of(longRequests);
    }
    if (interactive.hasQueued() && running < max * (1 + settings.interactiveOvercommit())) {
      return Optional.of(interactive);
    }
    boolean longFits =
        fits
            && longRequests.hasQueued()
            && longRequests.inFlight() < maxLongInFlight(max, nowNanos);
    return longFits ? Optional.of(longRequests) : Optional.empty();
  }

  @GuardedBy("this")
  private double maxLongInFlight(int max, long nowNanos) {
    double reserve = settings.burstReserve() * interactiveMean.mean(nowNanos);
    return max - Math.min(reserve, settings.maxReserveShare() * max);
  }
}
