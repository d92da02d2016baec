package org.guavagw.gateway.internal.memory;

/** The limit that was exceeded. */
public enum EvictionReason {
  MEMORY,
  CONNECTIONS
}
