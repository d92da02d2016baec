package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/** Starts each request at once, so that none ever waits at this entry. Stateless. */
public final class ImmediateScheduler implements RequestScheduler {
  private static final Duration RETRY_AFTER = Duration.ofMillis(400);

  @Override
  public void submit(WaitingRequest request, long nowNanos) {
    if (!request.tryStart(nowNanos)) {
      request.refuse(
          Refusal.notRun(RefusalCode.OVERLOADED, "all backend servers are full", RETRY_AFTER));
    }
  }

  @Override
  public void onEnded(WaitingRequest request, long nowNanos) {
    // Nothing waits for the room that is left.
  }

  @Override
  public void poll(long nowNanos) {
    // Nothing waits.
  }

  @Override
  public int waiting() {
    return 0;
  }
}
