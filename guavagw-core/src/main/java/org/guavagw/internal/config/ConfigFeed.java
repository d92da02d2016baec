package org.guavagw.internal.config;

import io.vavr.control.Either;

/** Gives what is new in the configuration history. Thread-safe; calls block. */
@FunctionalInterface
public interface ConfigFeed {
  /** The newest configuration; one read where the known one is still the newest. */
  Either<ConfigFailure, ConfigUpdate> since(RevisionedConfig known);
}
