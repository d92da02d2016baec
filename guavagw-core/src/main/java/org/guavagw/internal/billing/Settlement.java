package org.guavagw.internal.billing;

import java.util.List;

/** What a request really used, over all its retries and cascade steps. Immutable. */
public record Settlement(String requestId, long costMicros, List<BilledAttempt> attempts) {
  public Settlement {
    attempts = List.copyOf(attempts);
  }
}
