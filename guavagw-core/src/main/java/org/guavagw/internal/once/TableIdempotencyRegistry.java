package org.guavagw.internal.once;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Stores claims as rows of the table service, inserted before the dispatch.
 *
 * <p>A row names the only request that may dispatch the call. It is deleted only if that request
 * reports that the call did not run, or after the retention period. Thread-safe.
 */
public final class TableIdempotencyRegistry implements IdempotencyRegistry {
  private final TableService table;
  private final ClaimCommitter committer;
  private final OutcomeStore outcomes;
  private final ClaimerLiveness liveness;
  private final IdempotencySettings settings;
  private final InstantSource wall;

  public TableIdempotencyRegistry(
      TableService table,
      ObjectStore objects,
      ClaimerLiveness liveness,
      IdempotencySettings settings,
      InstantSource wall) {
    this.table = table;
    this.committer = new ClaimCommitter(table, settings.claimsPerTransaction());
    this.outcomes = new OutcomeStore(objects, settings);
    this.liveness = liveness;
    this.settings = settings;
    this.wall = wall;
  }

  @Override
  public Either<IdempotencyFailure, ClaimResult> claim(
      IdempotencyKey key, String requestFingerprint, String requestId) {
    IdempotencyRow own = IdempotencyRow.claim(requestId, requestFingerprint, wall.millis());
    Either<PlatformFailure, Boolean> inserted =
        committer.insert(key.rowKey(), IdempotencyRow.CODEC.encode(own));
    if (inserted.isRight() && inserted.get()) {
      return Either.right(new ClaimResult.Claimed(new IdempotencyClaim(key, requestId)));
    }
    if (inserted.isLeft() && inserted.getLeft().kind() == PlatformFailure.Kind.NOT_APPLIED) {
      return Either.left(OutcomeStore.unavailable(inserted.getLeft()));
    }
    return table
        .read(key.rowKey())
        .mapLeft(failure -> notClaimed(inserted, failure.reason()))
        .flatMap(
            row ->
                row.isPresent()
                    ? compareWithExisting(key, own, row.get())
                    : Either.left(notClaimed(inserted, "the row does not exist")));
  }

  private static IdempotencyFailure notClaimed(
      Either<PlatformFailure, Boolean> inserted, String reason) {
    return inserted.isLeft()
        ? new IdempotencyFailure.ClaimUnclear(inserted.getLeft().reason())
        : new IdempotencyFailure.StoreUnavailable(reason);
  }

  private Either<IdempotencyFailure, ClaimResult> compareWithExisting(
      IdempotencyKey key, IdempotencyRow own, Row row) {
    IdempotencyRow found = IdempotencyRow.CODEC.decode(row.value());
    if (!found.fingerprint().equals(own.fingerprint())) {
      return Either.right(new ClaimResult.KeyReused());
    }
    if (found.outcome().isPresent()) {
      return outcomes.load(found).map(ClaimResult.Replay::new);
    }
    if (found.requestId().equals(own.requestId())) {
      return Either.right(new ClaimResult.Claimed(new IdempotencyClaim(key, own.requestId())));
    }
    if (mayStillComplete(found)) {
      return Either.right(new ClaimResult.InProgress(found.requestId()));
    }
    return Either.right(new ClaimResult.OutcomeUnknown(found.requestId()));
  }

  private boolean mayStillComplete(IdempotencyRow row) {
    long ageMs = wall.millis() - row.claimedAtMs();
    Optional<String> entry = RequestIds.entryOf(row.requestId());
    return ageMs <= settings.maxClaimAge().toMillis() && entry.filter(liveness::hasEnded).isEmpty();
  }

  @Override
  public Either<IdempotencyFailure, Void> complete(IdempotencyClaim claim, StoredOutcome outcome) {
    return find(claim)
        .flatMap(row -> row.isPresent() ? complete(claim, row.get(), outcome) : claimGone());
  }

  private Either<IdempotencyFailure, Void> complete(
      IdempotencyClaim claim, Row row, StoredOutcome outcome) {
    IdempotencyRow found = IdempotencyRow.CODEC.decode(row.value());
    if (found.outcome().isPresent()) {
      return Either.right(null);
    }
    return outcomes
        .store(claim, found, outcome)
        .map(IdempotencyRow.CODEC::encode)
        .flatMap(value -> change(row, new Mutation.Put(row.key(), value)));
  }

  @Override
  public Either<IdempotencyFailure, Void> abandon(IdempotencyClaim claim) {
    return find(claim)
        .flatMap(
            row ->
                row.isPresent()
                    ? change(row.get(), new Mutation.Delete(row.get().key()))
                    : claimGone());
  }

  private Either<IdempotencyFailure, Optional<Row>> find(IdempotencyClaim claim) {
    return table
        .read(claim.key().rowKey())
        .mapLeft(OutcomeStore::unavailable)
        .map(row -> row.filter(r -> belongsTo(r, claim)));
  }

  private static boolean belongsTo(Row row, IdempotencyClaim claim) {
    return IdempotencyRow.CODEC.decode(row.value()).requestId().equals(claim.requestId());
  }

  private static Either<IdempotencyFailure, Void> claimGone() {
    return Either.left(new IdempotencyFailure.ClaimGone());
  }

  private Either<IdempotencyFailure, Void> change(Row row, Mutation mutation) {
    Condition unchanged = new Condition.VersionIs(row.key(), row.version());
    Either<PlatformFailure, CommitResult> result =
        table.commit(new Transaction(List.of(unchanged), List.of(mutation)));
    if (result.isLeft()) {
      return Either.left(OutcomeStore.unavailable(result.getLeft()));
    }
    return result.get() instanceof CommitResult.Conflict ? claimGone() : Either.right(null);
  }
}
