package org.guavagw.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** The platform's transactional table service. Implementations are thread-safe; calls block. */
public interface TableService {
  /** Reads the newest committed value of a row. */
  Either<PlatformFailure, Optional<Row>> read(RowKey key);

  /** Reads rows with keys from {@code from}, inclusive, to {@code to}, exclusive, in key order. */
  Either<PlatformFailure, List<Row>> range(String table, String from, String to, int limit);

  /** Commits a transaction if all of its conditions hold. */
  Either<PlatformFailure, CommitResult> commit(Transaction transaction);
}
