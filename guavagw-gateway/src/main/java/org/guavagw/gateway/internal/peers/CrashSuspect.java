package org.guavagw.gateway.internal.peers;

import java.util.List;

/**
 * A request that waited for its answer on a backend server when that server ended. Immutable.
 *
 * @param incarnation incarnation of the backend server
 * @param prompt id of the last part of the prompt, which belongs to the request itself
 * @param parts ids of the other parts, in order
 */
public record CrashSuspect(String incarnation, String prompt, List<String> parts) {
  public CrashSuspect {
    parts = List.copyOf(parts);
  }
}
