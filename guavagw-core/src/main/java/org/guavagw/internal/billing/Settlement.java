package org.guavagw.internal.billing;

import java.util.List;

/** The actual cost of a request, including all retries and cascade steps. Immutable. */
public record Settlement(String requestId, long costMicros, List<BilledAttempt> attempts) {
  public Settlement {
    attempts = List.copyOf(attempts);
  }
}
