package org.guavagw.internal.limits;

import java.time.Duration;
import org.guavagw.internal.limits.AdmissionRefusal.Reason;

/** The queued and running requests of one request class. Not thread-safe. */
final class Lane {
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
  private static final double NANOS_PER_SECOND = 1e9;

  private final FairQueue queue = new FairQueue();
  private final DrainRate drain;
  private int inFlight;

  Lane(Duration drainWindow) {
    this.drain = new DrainRate(drainWindow.toNanos());
  }

  FairQueue queue() {
    return queue;
  }

  int inFlight() {
    return inFlight;
  }

  boolean waits() {
    return queue.size() > 0;
  }

  Admission enqueue(AdmissionRequest request, long nowNanos) {
    Admission admission = new Admission(request, nowNanos, queue.tag(request));
    queue.add(admission);
    return admission;
  }

  /** Admits the request that is next, or refuses it where its deadline has passed. */
  void decideNext(long nowNanos) {
    Admission admission = queue.poll();
    if (admission.request().deadlineNanos() - nowNanos <= 0) {
      queue.refund(admission);
      admission.refuse(refusal(Reason.DEADLINE_PASSED, nowNanos));
      return;
    }
    inFlight++;
    admission.admit();
  }

  void onReleased(long nowNanos) {
    inFlight--;
    drain.onEnd(nowNanos);
  }

  void refuse(Admission admission, Reason reason, long nowNanos) {
    queue.remove(admission);
    queue.refund(admission);
    admission.refuse(refusal(reason, nowNanos));
  }

  void refuseExpired(long nowNanos) {
    for (Admission admission : queue.all()) {
      if (admission.request().deadlineNanos() - nowNanos <= 0) {
        refuse(admission, Reason.DEADLINE_PASSED, nowNanos);
      }
    }
  }

  void refuseAll(long nowNanos) {
    queue.all().forEach(a -> refuse(a, Reason.CLOSED, nowNanos));
  }

  /** Whether the queue drains too slowly for the request's deadline. */
  boolean wouldMissDeadline(AdmissionRequest request, long nowNanos) {
    double rate = drain.perSecond(nowNanos);
    if (rate <= 0 || !waits()) {
      return false;
    }
    double waitNanos = queue.ahead(request) / rate * NANOS_PER_SECOND;
    return waitNanos > request.deadlineNanos() - nowNanos;
  }

  AdmissionRefusal refusal(Reason reason, long nowNanos) {
    return new AdmissionRefusal(reason, retryAfter(nowNanos));
  }

  private Duration retryAfter(long nowNanos) {
    double rate = drain.perSecond(nowNanos);
    if (rate <= 0) {
      return waits() ? MAX_RETRY_AFTER : MIN_RETRY_AFTER;
    }
    Duration drained = Duration.ofSeconds((long) Math.ceil((queue.size() + 1) / rate));
    Duration bounded = drained.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : drained;
    return bounded.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : bounded;
  }
}
