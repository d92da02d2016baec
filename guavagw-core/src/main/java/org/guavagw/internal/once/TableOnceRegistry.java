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
 * Claims as rows of the table service, inserted before the dispatch.
 *
 * <p>A row names the one request that may dispatch. It goes away only by that request's own word
 * that the call did not run. Thread-safe.
 */
public final class TableOnceRegistry implements OnceRegistry {
  private final TableService table;
  private final ClaimCommitter committer;
  private final OutcomeStore outcomes;
  private final ClaimerLiveness liveness;
  private final OnceSettings settings;
  private final InstantSource wall;

  public TableOnceRegistry(
      TableService table,
      ObjectStore objects,
      ClaimerLiveness liveness,
      OnceSettings settings,
      InstantSource wall) {
    this.table = table;
    this.committer = new ClaimCommitter(table, settings.claimsPerTransaction());
    this.outcomes = new OutcomeStore(objects, settings);
    this.liveness = liveness;
    this.settings = settings;
    this.wall = wall;
  }

  @Override
  public Either<OnceFailure, ClaimResult> claim(
      OnceKey key, String requestFingerprint, String requestId) {
    OnceRow mine = OnceRow.claim(requestId, requestFingerprint, wall.millis());
    Either<PlatformFailure, Boolean> inserted =
        committer.insert(key.rowKey(), OnceRow.CODEC.encode(mine));
    if (inserted.isRight() && inserted.get()) {
      return Either.right(new ClaimResult.Claimed(new OnceClaim(key, requestId)));
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
                    ? judge(key, mine, row.get())
                    : Either.left(notClaimed(inserted, "the row is not there")));
  }

  private static OnceFailure notClaimed(Either<PlatformFailure, Boolean> inserted, String reason) {
    return inserted.isLeft()
        ? new OnceFailure.ClaimUnclear(inserted.getLeft().reason())
        : new OnceFailure.StoreUnavailable(reason);
  }

  private Either<OnceFailure, ClaimResult> judge(OnceKey key, OnceRow mine, Row row) {
    OnceRow found = OnceRow.CODEC.decode(row.value());
    if (!found.fingerprint().equals(mine.fingerprint())) {
      return Either.right(new ClaimResult.KeyReused());
    }
    if (found.outcome().isPresent()) {
      return outcomes.load(found).map(ClaimResult.Replay::new);
    }
    if (found.requestId().equals(mine.requestId())) {
      return Either.right(new ClaimResult.Claimed(new OnceClaim(key, mine.requestId())));
    }
    if (mayStillAnswer(found)) {
      return Either.right(new ClaimResult.InProgress(found.requestId()));
    }
    return Either.right(new ClaimResult.OutcomeUnknown(found.requestId()));
  }

  private boolean mayStillAnswer(OnceRow row) {
    long ageMs = wall.millis() - row.claimedAtMs();
    Optional<String> entry = RequestIds.entryOf(row.requestId());
    return ageMs <= settings.maxClaimAge().toMillis() && entry.filter(liveness::hasEnded).isEmpty();
  }

  @Override
  public Either<OnceFailure, Void> complete(OnceClaim claim, StoredOutcome outcome) {
    return find(claim)
        .flatMap(row -> row.isPresent() ? complete(claim, row.get(), outcome) : claimGone());
  }

  private Either<OnceFailure, Void> complete(OnceClaim claim, Row row, StoredOutcome outcome) {
    OnceRow found = OnceRow.CODEC.decode(row.value());
    if (found.outcome().isPresent()) {
      return Either.right(null);
    }
    return outcomes
        .store(claim, found, outcome)
        .map(OnceRow.CODEC::encode)
        .flatMap(value -> change(row, new Mutation.Put(row.key(), value)));
  }

  @Override
  public Either<OnceFailure, Void> abandon(OnceClaim claim) {
    return find(claim)
        .flatMap(
            row ->
                row.isPresent()
                    ? change(row.get(), new Mutation.Delete(row.get().key()))
                    : claimGone());
  }

  private Either<OnceFailure, Optional<Row>> find(OnceClaim claim) {
    return table
        .read(claim.key().rowKey())
        .mapLeft(OutcomeStore::unavailable)
        .map(row -> row.filter(r -> belongsTo(r, claim)));
  }

  private static boolean belongsTo(Row row, OnceClaim claim) {
    return OnceRow.CODEC.decode(row.value()).requestId().equals(claim.requestId());
  }

  private static Either<OnceFailure, Void> claimGone() {
    return Either.left(new OnceFailure.ClaimGone());
  }

  private Either<OnceFailure, Void> change(Row row, Mutation mutation) {
    Condition unchanged = new Condition.VersionIs(row.key(), row.version());
    Either<PlatformFailure, CommitResult> result =
        table.commit(new Transaction(List.of(unchanged), List.of(mutation)));
    if (result.isLeft()) {
      return Either.left(OutcomeStore.unavailable(result.getLeft()));
    }
    return result.get() instanceof CommitResult.Conflict ? claimGone() : Either.right(null);
  }
}
