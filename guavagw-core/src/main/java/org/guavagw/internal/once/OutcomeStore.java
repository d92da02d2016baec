package org.guavagw.internal.once;

import io.vavr.control.Either;
import java.util.Optional;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.PlatformFailure;

/**
 * Splits answers between the row and the object store by the size of their bodies. Thread-safe;
 * blocks on the object store.
 */
final class OutcomeStore {
  private static final String PREFIX = "once/";
  private static final byte[] NO_BODY = new byte[0];

  private final ObjectStore objects;
  private final OnceSettings settings;

  OutcomeStore(ObjectStore objects, OnceSettings settings) {
    this.objects = objects;
    this.settings = settings;
  }

  /** The completed row; a large body is in the object store before this returns. */
  Either<OnceFailure, OnceRow> store(OnceClaim claim, OnceRow row, StoredOutcome outcome) {
    int size = outcome.body().length;
    if (size > settings.maxBodyBytes()) {
      return Either.left(new OnceFailure.OutcomeTooLarge(size, settings.maxBodyBytes()));
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

  /** The whole answer of a completed row. */
  Either<OnceFailure, StoredOutcome> load(OnceRow row) {
    StoredOutcome outcome = row.outcome().orElseThrow();
    if (row.bodyObject().isEmpty()) {
      return Either.right(outcome);
    }
    return objects
        .get(row.bodyObject().get())
        .mapLeft(OutcomeStore::unavailable)
        .flatMap(body -> withBody(outcome, body));
  }

  private static Either<OnceFailure, StoredOutcome> withBody(
      StoredOutcome head, Optional<byte[]> body) {
    if (body.isEmpty()) {
      return Either.left(new OnceFailure.StoreUnavailable("the stored body is missing"));
    }
    return Either.right(new StoredOutcome(head.status(), head.headers(), body.get()));
  }

  static OnceFailure unavailable(PlatformFailure failure) {
    return new OnceFailure.StoreUnavailable(failure.reason());
  }
}
