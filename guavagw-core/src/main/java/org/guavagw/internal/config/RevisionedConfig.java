package org.guavagw.internal.config;

import org.guavagw.config.GatewayConfig;

/** A configuration and its place in the one history of revisions. Immutable. */
public record RevisionedConfig(long revision, GatewayConfig config) {
  /** What an entry has before it has learnt any configuration. */
  public static final RevisionedConfig NONE = new RevisionedConfig(0, GatewayConfig.empty());
}
