package org.guavagw.gateway.internal.relay;

/**
 * What this entry holds of an answer until it can be sent. Immutable.
 *
 * @param bytes memory that is held
 * @param drop gives up the attempt that it comes from and frees the memory at once
 */
record HeldAnswer(long bytes, Runnable drop) {
  static final HeldAnswer NONE = new HeldAnswer(0, () -> {});
}
