package org.guavagw.internal.limits;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request that was offered to an {@link AdmissionQueue}. Changes state once, from queued to
 * admitted or refused; an admitted one has to be released. Thread-safe.
 */
public final class Admission {
  private final AdmissionRequest request;
  private final long offeredNanos;
  private volatile long admittedNanos;
  private final CompletableFuture<Optional<AdmissionRefusal>> decision = new CompletableFuture<>();
  private final AtomicBoolean released = new AtomicBoolean();

  Admission(AdmissionRequest request, long offeredNanos) {
    this.request = request;
    this.offeredNanos = offeredNanos;
  }

  /** What was asked for. */
  public AdmissionRequest request() {
    return request;
  }

  /** Monotonic time of the offer. */
  public long offeredNanos() {
    return offeredNanos;
  }

  /** Whether the request may run. */
  public boolean isAdmitted() {
    return isDecided() && refusal().isEmpty();
  }

  /** Why the request may not run, once that is decided. */
  public Optional<AdmissionRefusal> refusal() {
    return decision.getNow(Optional.empty());
  }

  /** Whether the request was admitted or refused. */
  public boolean isDecided() {
    return decision.isDone();
  }

  /** Runs an action once decided, on the thread that decides; it must not block. */
  public void whenDecided(Runnable action) {
    CompletableFuture<Void> unused = decision.thenRun(action);
  }

  long admittedNanos() {
    return admittedNanos;
  }

  void admit(long nowNanos) {
    admittedNanos = nowNanos;
    decision.complete(Optional.empty());
  }

  void refuse(AdmissionRefusal why) {
    decision.complete(Optional.of(why));
  }

  boolean markReleased() {
    return isAdmitted() && released.compareAndSet(false, true);
  }

  /** Waits for the decision, but no longer than the given time. */
  void awaitDecision(long nanos) throws InterruptedException {
    try {
      decision.get(nanos, TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      // the caller looks at the state
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }
}
