package org.guavagw.internal.once;

import java.util.List;
import java.util.Map;

/**
 * The answer to a call, stored to be replayed. Immutable; the array must not be changed.
 *
 * @param headers header names with their values in order
 */
public record StoredOutcome(int status, Map<String, List<String>> headers, byte[] body) {
  public StoredOutcome {
    headers = Map.copyOf(headers);
  }
}
