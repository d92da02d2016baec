package org.guavagw.internal.once;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.internal.time.Clocks;

/**
 * Retries failed writes of another registry.
 *
 * <p>If the outcome of a claim's write is unknown, its row may exist and is deleted later; until
 * then the same request cannot claim again. The memory for answers that are not stored yet is
 * bounded. Thread-safe.
 */
public final class RetryingIdempotencyRegistry implements IdempotencyRegistry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;
  private static final int MAX_PENDING = 10_000;
  private static final long MAX_PENDING_BODY_BYTES = 32L * 1024 * 1024;
  private static final long UNCLEAR_CLAIM_RETRY_NANOS = TimeUnit.SECONDS.toNanos(120);
  private static final long RETRY_PERIOD_MS = 1_000;
  private static final int MAX_RETRIES_PER_PASS = 20;

  private final Map<IdempotencyClaim, PendingChange> pending = new ConcurrentHashMap<>();
  private final IdempotencyRegistry registry;
  private final Clocks clocks;

  public RetryingIdempotencyRegistry(IdempotencyRegistry registry, Clocks clocks) {
    this.registry = registry;
    this.clocks = clocks;
  }

  @Override
  public Either<IdempotencyFailure, ClaimResult> claim(
      IdempotencyKey key, String requestFingerprint, String requestId) {
    IdempotencyClaim claim = new IdempotencyClaim(key, requestId);
    if (pending.containsKey(claim) || pending.size() >= MAX_PENDING) {
      return Either.left(
          new IdempotencyFailure.StoreUnavailable(
              "earlier changes are waiting for the table service"));
    }
    return registry
        .claim(key, requestFingerprint, requestId)
        .peekLeft(failure -> addPendingIfUnclear(claim, failure));
  }

  private void addPendingIfUnclear(IdempotencyClaim claim, IdempotencyFailure failure) {
    if (failure instanceof IdempotencyFailure.ClaimUnclear) {
      addPending(claim, PendingChange.unclearClaim(clocks.monotonic().read()));
    }
  }

  @Override
  public Either<IdempotencyFailure, Void> complete(IdempotencyClaim claim, StoredOutcome outcome) {
    return registry
        .complete(claim, outcome)
        .peekLeft(failure -> addPendingOutcome(claim, outcome, failure));
  }

  private void addPendingOutcome(
      IdempotencyClaim claim, StoredOutcome outcome, IdempotencyFailure failure) {
    long pendingBytes = pending.values().stream().mapToLong(PendingChange::bodyBytes).sum();
    if (isFinal(failure) || pendingBytes + outcome.body().length > MAX_PENDING_BODY_BYTES) {
      logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
          "outcome of %s not stored: %s", claim.requestId(), failure);
      return;
    }
    addPending(claim, PendingChange.outcome(outcome, clocks.monotonic().read()));
  }

  @Override
  public Either<IdempotencyFailure, Void> abandon(IdempotencyClaim claim) {
    return registry
        .abandon(claim)
        .peekLeft(failure -> addPending(claim, PendingChange.abandoned(clocks.monotonic().read())));
  }

  private void addPending(IdempotencyClaim claim, PendingChange change) {
    pending.put(claim, change);
  }

  /** Returns the number of changes to be retried. */
  public int pendingCount() {
    return pending.size();
  }

  /** Retries periodically on the scheduler's thread until the future is cancelled. */
  public ScheduledFuture<?> scheduleRetries(ScheduledExecutorService scheduler) {
    return scheduler.scheduleWithFixedDelay(
        this::retryPending, RETRY_PERIOD_MS, RETRY_PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  /** Retries some of the pending changes once. */
  public void retryPending() {
    List<Map.Entry<IdempotencyClaim, PendingChange>> batch =
        pending.entrySet().stream().limit(MAX_RETRIES_PER_PASS).toList();
    for (Map.Entry<IdempotencyClaim, PendingChange> entry : batch) {
      if (retry(entry.getKey(), entry.getValue())) {
        pending.remove(entry.getKey(), entry.getValue());
      }
    }
  }

  private boolean retry(IdempotencyClaim claim, PendingChange change) {
    Either<IdempotencyFailure, Void> result =
        change.outcome().isPresent()
            ? registry.complete(claim, change.outcome().get())
            : registry.abandon(claim);
    boolean rowMayStillAppear =
        change.isUnclearClaim()
            && clocks.monotonic().read() - change.sinceNanos() < UNCLEAR_CLAIM_RETRY_NANOS;
    return !rowMayStillAppear && (result.isRight() || isFinal(result.getLeft()));
  }

  private static boolean isFinal(IdempotencyFailure failure) {
    return !(failure instanceof IdempotencyFailure.StoreUnavailable);
  }

  /** A pending change of a row: an answer to store, or else a row to delete. Immutable. */
  private record PendingChange(
      Optional<StoredOutcome> outcome, boolean isUnclearClaim, long sinceNanos) {
    static PendingChange outcome(StoredOutcome outcome, long nowNanos) {
      return new PendingChange(Optional.of(outcome), false, nowNanos);
    }

    static PendingChange abandoned(long nowNanos) {
      return new PendingChange(Optional.empty(), false, nowNanos);
    }

    static PendingChange unclearClaim(long nowNanos) {
      return new PendingChange(Optional.empty(), true, nowNanos);
    }

    long bodyBytes() {
      return outcome.map(o -> (long) o.body().length).orElse(0L);
    }
  }
}
