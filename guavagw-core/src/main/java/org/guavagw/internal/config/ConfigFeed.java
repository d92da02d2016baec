package org.guavagw.internal.config;

import io.vavr.control.Either;

/** Reads updates from the configuration history. Thread-safe; calls block. */
@FunctionalInterface
public interface ConfigFeed {
  /** Returns the newest configuration; takes a single read if the known one is the newest. */
  Either<ConfigFailure, ConfigUpdate> since(RevisionedConfig known);
}
