package org.guavagw.gateway.internal.peers;

import java.util.List;

/**
 * A request that waited for its answer on a backend server when that server ended. Immutable.
 *
 * @param incarnation incarnation of the backend server
 * @param fingerprint the same whenever the same request comes again
 * @param parts ids of the parts of its prompt that other requests may share, in order
 */
public record CrashSuspect(String incarnation, String fingerprint, List<String> parts) {
  public CrashSuspect {
    parts = List.copyOf(parts);
  }

  /** Returns about how many bytes this takes in a message. */
  long approximateBytes() {
    return MessageSizes.ofNames(List.of(incarnation, fingerprint)) + MessageSizes.ofNames(parts);
  }
}
