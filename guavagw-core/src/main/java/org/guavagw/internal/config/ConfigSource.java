package org.guavagw.internal.config;

/** Provides the configuration in force at this entry. Thread-safe. */
public interface ConfigSource {
  /** Returns the configuration in force; its revision never decreases. */
  RevisionedConfig current();
}
