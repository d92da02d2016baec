package org.guavagw.internal.config;

import io.vavr.control.Either;
import java.util.List;

/** The history of accepted configurations. Thread-safe; calls block on the table service. */
public interface ConfigHistory {
  /**
   * Returns the newest accepted configuration, or {@link RevisionedConfig#NONE} before the first.
   */
  Either<ConfigFailure, RevisionedConfig> latest();

  /**
   * Accepts a change if no other was accepted since its expected revision. Idempotent by change id:
   * a repeated call returns the revision that the first call created.
   */
  Either<ConfigFailure, RevisionedConfig> apply(ConfigChange change);

  /** Returns the newest revisions, newest first. */
  Either<ConfigFailure, List<RevisionInfo>> history(int limit);
}
