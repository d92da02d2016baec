package org.guavagw.internal.once;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.guavagw.internal.time.Clocks;

/**
 * Repeats what a registry could not write.
 *
 * <p>A claim that failed may still have reached the table, so its row is taken away later; until
 * then the same request cannot claim again. Answers wait in bounded memory. Thread-safe.
 */
public final class RetryingOnceRegistry implements OnceRegistry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;
  private static final int MAX_PENDING = 10_000;
  private static final long MAX_PENDING_BODY_BYTES = 32L * 1024 * 1024;
  private static final long FAILED_CLAIM_NANOS = 120_000_000_000L;

  private final Map<OnceClaim, PendingChange> pending = new ConcurrentHashMap<>();
  private final OnceRegistry registry;
  private final Clocks clocks;

  public RetryingOnceRegistry(OnceRegistry registry, Clocks clocks) {
    this.registry = registry;
    this.clocks = clocks;
  }

  @Override
  public Either<OnceFailure, ClaimResult> claim(
      OnceKey key, String requestFingerprint, String requestId) {
    OnceClaim claim = new OnceClaim(key, requestId);
    if (pending.containsKey(claim) || pending.size() >= MAX_PENDING) {
      return Either.left(new OnceFailure.StoreUnavailable("earlier claims wait for the store"));
    }
    return registry
        .claim(key, requestFingerprint, requestId)
        .peekLeft(failure -> keep(claim, PendingChange.failedClaim(clocks.monotonic().read())));
  }

  @Override
  public Either<OnceFailure, Void> complete(OnceClaim claim, StoredOutcome outcome) {
    return registry
        .complete(claim, outcome)
        .peekLeft(failure -> keepOutcome(claim, outcome, failure));
  }

  private void keepOutcome(OnceClaim claim, StoredOutcome outcome, OnceFailure failure) {
    long waiting = pending.values().stream().mapToLong(PendingChange::bodyBytes).sum();
    if (isFinal(failure) || waiting + outcome.body().length > MAX_PENDING_BODY_BYTES) {
      logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
          "outcome of %s not kept: %s", claim.requestId(), failure);
      return;
    }
    keep(claim, PendingChange.outcome(outcome, clocks.monotonic().read()));
  }

  @Override
  public Either<OnceFailure, Void> abandon(OnceClaim claim) {
    return registry
        .abandon(claim)
        .peekLeft(failure -> keep(claim, PendingChange.abandoned(clocks.monotonic().read())));
  }

  private void keep(OnceClaim claim, PendingChange change) {
    pending.put(claim, change);
  }

  /** Changes that wait for the store. */
  public int pendingCount() {
    return pending.size();
  }

  /** Tries every waiting change once; for the control thread's schedule. */
  public void retryPending() {
    for (Map.Entry<OnceClaim, PendingChange> entry : List.copyOf(pending.entrySet())) {
      if (isDone(entry.getKey(), entry.getValue())) {
        pending.remove(entry.getKey(), entry.getValue());
      }
    }
  }

  private boolean isDone(OnceClaim claim, PendingChange change) {
    Either<OnceFailure, Void> result =
        change.outcome().isPresent()
            ? registry.complete(claim, change.outcome().get())
            : registry.abandon(claim);
    boolean rowMayStillAppear =
        change.isFailedClaim()
            && clocks.monotonic().read() - change.sinceNanos() < FAILED_CLAIM_NANOS;
    return !rowMayStillAppear && (result.isRight() || isFinal(result.getLeft()));
  }

  private static boolean isFinal(OnceFailure failure) {
    return !(failure instanceof OnceFailure.StoreUnavailable);
  }

  /**
   * A change of a row that is still to be made: an answer to keep, or a row to take away.
   * Immutable.
   */
  private record PendingChange(
      Optional<StoredOutcome> outcome, boolean isFailedClaim, long sinceNanos) {
    static PendingChange outcome(StoredOutcome outcome, long nowNanos) {
      return new PendingChange(Optional.of(outcome), false, nowNanos);
    }

    static PendingChange abandoned(long nowNanos) {
      return new PendingChange(Optional.empty(), false, nowNanos);
    }

    static PendingChange failedClaim(long nowNanos) {
      return new PendingChange(Optional.empty(), true, nowNanos);
    }

    long bodyBytes() {
      return outcome.map(o -> (long) o.body().length).orElse(0L);
    }
  }
}
