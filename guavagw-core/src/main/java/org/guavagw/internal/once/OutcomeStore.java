package org.guavagw.internal.once;

import io.vavr.control.Either;
import java.util.Optional;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.PlatformFailure;

/**
 * Stores answers in the row, or with the body in the object store if it is large. Thread-safe;
 * blocks on the object store.
 */
final class OutcomeStore {
  private static final String PREFIX = "once/";
  private static final byte[] NO_BODY = new byte[0];

  private final ObjectStore objects;
  private final IdempotencySettings settings;

  OutcomeStore(ObjectStore objects, IdempotencySettings settings) {
    this.objects = objects;
    this.settings = settings;
  }

  /** Returns the completed row. A large body is written to the object store first. */
  Either<IdempotencyFailure, IdempotencyRow> store(
      IdempotencyClaim claim, IdempotencyRow row, StoredOutcome outcome) {
    int size = outcome.body().length;
    if (size > settings.maxBodyBytes()) {
      return Either.left(new IdempotencyFailure.OutcomeTooLarge(size, settings.maxBodyBytes()));
    }
    if (size <= settings.maxRowBodyBytes()) {
      return Either.right(row.completed(outcome, Optional.empty()));
    }
    String name = PREFIX + claim.key().rowKey().key() + '/' + claim.requestId();
    StoredOutcome head = new StoredOutcome(outcome.status(), outcome.headers(), NO_BODY);
    return objects
        .put(name, outcome.body())
        .mapLeft(OutcomeStore::unavailable)
        .map(done -> row.completed(head, Optional.of(name)));
  }

  /** Returns the answer of a completed row, including its body. */
  Either<IdempotencyFailure, StoredOutcome> load(IdempotencyRow row) {
    StoredOutcome outcome = row.outcome().orElseThrow();
    if (row.bodyObject().isEmpty()) {
      return Either.right(outcome);
    }
    return objects
        .get(row.bodyObject().get())
        .mapLeft(OutcomeStore::unavailable)
        .flatMap(body -> withBody(outcome, body));
  }

  private static Either<IdempotencyFailure, StoredOutcome> withBody(
      StoredOutcome head, Optional<byte[]> body) {
    if (body.isEmpty()) {
      return Either.left(new IdempotencyFailure.StoreUnavailable("the stored body is missing"));
    }
    return Either.right(new StoredOutcome(head.status(), head.headers(), body.get()));
  }

  static IdempotencyFailure unavailable(PlatformFailure failure) {
    return new IdempotencyFailure.StoreUnavailable(failure.reason());
  }
}
