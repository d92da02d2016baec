package org.guavagw.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** The platform's transactional table service. Implementations are thread-safe and block. */
public interface TableService {
  /** Reads one row with the newest committed value. */
  Either<PlatformFailure, Optional<Row>> read(RowKey key);

  /** Reads rows of a table with keys from {@code from} on and below {@code to}, in key order. */
  Either<PlatformFailure, List<Row>> range(String table, String from, String to, int limit);

  /** Commits a transaction if all its conditions hold. */
  Either<PlatformFailure, CommitResult> commit(Transaction transaction);
}
