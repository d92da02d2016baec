package org.guavagw.internal.once;

import java.util.List;
import java.util.Map;

/**
 * The answer to a call, kept to be given again. Immutable; the array must not be changed.
 *
 * @param headers each header with its values in order
 */
public record StoredOutcome(int status, Map<String, List<String>> headers, byte[] body) {
  public StoredOutcome {
    headers = Map.copyOf(headers);
  }
}
