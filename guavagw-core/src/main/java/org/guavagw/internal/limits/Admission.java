package org.guavagw.internal.limits;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request that was offered to an {@link AdmissionQueue}. Its state changes once, from queued to
 * admitted or refused; an admitted request must be released. Thread-safe.
 */
public final class Admission implements FairShareItem {
  private final AdmissionRequest request;
  private final long offeredNanos;
  private volatile long admittedNanos;
  private final CompletableFuture<Optional<AdmissionRefusal>> decision = new CompletableFuture<>();
  private final AtomicBoolean released = new AtomicBoolean();

  Admission(AdmissionRequest request, long offeredNanos) {
    this.request = request;
    this.offeredNanos = offeredNanos;
  }

  /** Returns the offered request. */
  public AdmissionRequest request() {
    return request;
  }

  @Override
  public String team() {
    return request.team();
  }

  @Override
  public int weight() {
    return request.weight();
  }

  @Override
  public double cost() {
    return request.cost();
  }

  /** Returns the monotonic time at which the request was offered. */
  public long offeredNanos() {
    return offeredNanos;
  }

  /** Returns whether the request was admitted. */
  public boolean isAdmitted() {
    return isDecided() && refusal().isEmpty();
  }

  /** Returns why the request was refused; empty if it is queued or admitted. */
  public Optional<AdmissionRefusal> refusal() {
    return decision.getNow(Optional.empty());
  }

  /** Returns whether the request was admitted or refused. */
  public boolean isDecided() {
    return decision.isDone();
  }

  /**
   * Runs an action once the request is decided, on the deciding thread; the action must not block.
   */
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

  void refuse(AdmissionRefusal refusal) {
    decision.complete(Optional.of(refusal));
  }

  boolean markReleased() {
    return isAdmitted() && released.compareAndSet(false, true);
  }

  /** Waits for the decision, at most for the given time. */
  void awaitDecision(long nanos) throws InterruptedException {
    try {
      decision.get(nanos, TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      // not decided yet; the calling method checks the state
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }
}
