package org.guavagw.gateway.internal.load;

import java.time.Duration;

/**
 * The load of one incarnation of a backend server at a moment. Immutable.
 *
 * @param running requests that were sent to it, from all entries, and have not ended
 * @param slots requests that it processes at a time; 0 if unknown
 * @param pendingPrefillMillis prefill time of the prompts that are still to be processed
 * @param promisedTokens prompts and expected answers of the running requests, in tokens
 * @param memoryTokens memory of its engine, in tokens; 0 if unknown or if it has no engine
 * @param speed its speed relative to other backend servers of its version; 1 until it is learned
 * @param reportAge age of what other entries have reported of it; zero if there are no others
 */
public record ServerSnapshot(
    int running,
    int slots,
    double pendingPrefillMillis,
    long promisedTokens,
    long memoryTokens,
    double speed,
    Duration reportAge) {

  /** Returns whether a request of this size could begin at once. */
  public boolean hasRoom(long tokens) {
    boolean slotFree = slots == 0 || running < slots;
    boolean memoryFree = memoryTokens == 0 || promisedTokens + tokens <= memoryTokens;
    return slotFree && memoryFree;
  }
}
