package org.guavagw.internal.config;

import io.vavr.control.Either;
import java.util.List;

/** The one history of accepted configurations. Thread-safe; calls block on the table service. */
public interface ConfigHistory {
  /** The newest accepted configuration, or {@link RevisionedConfig#NONE} before the first. */
  Either<ConfigFailure, RevisionedConfig> latest();

  /**
   * Accepts a change if nothing was accepted since its expected revision. Idempotent by change id:
   * a repeat gives the revision that the first call made.
   */
  Either<ConfigFailure, RevisionedConfig> apply(ConfigChange change);

  /** The newest revisions, newest first. */
  Either<ConfigFailure, List<ConfigEntry>> history(int limit);
}
