package org.guavagw.internal.config;

import org.guavagw.config.GatewayConfig;

/** A configuration and its revision in the history. Immutable. */
public record RevisionedConfig(long revision, GatewayConfig config) {
  /** The configuration of an entry that has not received one yet. */
  public static final RevisionedConfig NONE = new RevisionedConfig(0, GatewayConfig.empty());
}
