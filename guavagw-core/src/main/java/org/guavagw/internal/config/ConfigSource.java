package org.guavagw.internal.config;

/** Gives the newest configuration that this entry knows. Thread-safe. */
public interface ConfigSource {
  /** The newest known configuration; its revision never falls. */
  RevisionedConfig current();
}
