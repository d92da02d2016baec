package org.guavagw.internal.limits;

import java.time.Duration;
import org.guavagw.internal.limits.AdmissionRefusal.Reason;

/** Queued and running requests of one request class. Not thread-safe. */
final class RequestClassQueue {
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double RUN_WEIGHT = 0.05;
  private static final double RUN_MARGIN = 2;
  private static final double MAX_RUN_SHARE = 0.5;

  private final FairQueue<Admission> queue = new FairQueue<>();
  private final EventRate completions;
  private int inFlight;
  private double meanRunNanos;

  RequestClassQueue(Duration completionWindow) {
    this.completions = new EventRate(completionWindow.toNanos());
  }

  FairQueue<Admission> queue() {
    return queue;
  }

  int inFlight() {
    return inFlight;
  }

  boolean hasQueued() {
    return queue.size() > 0;
  }

  void enqueue(Admission admission) {
    queue.add(admission);
  }

  /** Admits the next request, or refuses it if too little time is left to run it. */
  void decideNext(long nowNanos) {
    Admission admission = queue.poll();
    if (isTooLate(admission, nowNanos)) {
      admission.refuse(refusal(Reason.DEADLINE_PASSED, nowNanos));
      return;
    }
    queue.charge(admission);
    inFlight++;
    admission.admit(nowNanos);
  }

  void onReleased(Admission admission, long nowNanos) {
    inFlight--;
    completions.onEvent(nowNanos);
    double sample = (double) (nowNanos - admission.admittedNanos());
    meanRunNanos += meanRunNanos == 0 ? sample : RUN_WEIGHT * (sample - meanRunNanos);
  }

  void refuse(Admission admission, Reason reason, long nowNanos) {
    queue.remove(admission);
    admission.refuse(refusal(reason, nowNanos));
  }

  /** Refuses queued requests that have too little time left to run. */
  void refuseExpired(long nowNanos) {
    for (Admission admission : queue.all()) {
      if (isTooLate(admission, nowNanos)) {
        refuse(admission, Reason.DEADLINE_PASSED, nowNanos);
      }
    }
  }

  void refuseAll(long nowNanos) {
    queue.all().forEach(a -> refuse(a, Reason.CLOSED, nowNanos));
  }

  /** Returns whether the queue drains too slowly for the request's deadline. */
  boolean wouldMissDeadline(Admission admission, long nowNanos) {
    AdmissionRequest request = admission.request();
    double rate = completions.perSecond(nowNanos);
    if (rate <= 0 || !hasQueued()) {
      return false;
    }
    double waitNanos = queue.countAhead(admission) / rate * NANOS_PER_SECOND;
    return waitNanos + requiredNanos(request, nowNanos) > request.deadlineNanos() - nowNanos;
  }

  private boolean isTooLate(Admission admission, long nowNanos) {
    AdmissionRequest request = admission.request();
    double remainingNanos = (double) (request.deadlineNanos() - nowNanos);
    return remainingNanos <= requiredNanos(request, admission.offeredNanos());
  }

  /**
   * Returns the expected run time with a margin, capped at a share of the time that the caller
   * allowed.
   */
  private double requiredNanos(AdmissionRequest request, long offeredNanos) {
    double allowedNanos = (double) (request.deadlineNanos() - offeredNanos);
    return Math.min(RUN_MARGIN * meanRunNanos, MAX_RUN_SHARE * allowedNanos);
  }

  AdmissionRefusal refusal(Reason reason, long nowNanos) {
    return new AdmissionRefusal(reason, retryAfter(nowNanos));
  }

  private Duration retryAfter(long nowNanos) {
    double rate = completions.perSecond(nowNanos);
    if (rate <= 0) {
      return hasQueued() ? MAX_RETRY_AFTER : MIN_RETRY_AFTER;
    }
    Duration queueDrainTime = Duration.ofSeconds((long) Math.ceil((queue.size() + 1) / rate));
    Duration bounded =
        queueDrainTime.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : queueDrainTime;
    return bounded.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : bounded;
  }
}
