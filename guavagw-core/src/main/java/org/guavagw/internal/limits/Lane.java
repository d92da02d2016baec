package org.guavagw.internal.limits;

import java.time.Duration;
import org.guavagw.internal.limits.AdmissionRefusal.Reason;

/** The queued and running requests of one request class. Not thread-safe. */
final class Lane {
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double RUN_WEIGHT = 0.05;
  private static final double RUN_MARGIN = 2;
  private static final double MAX_RUN_SHARE = 0.5;

  private final FairQueue queue = new FairQueue();
  private final DrainRate drain;
  private int inFlight;
  private double meanRunNanos;

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
    Admission admission = new Admission(request, nowNanos);
    queue.add(admission);
    return admission;
  }

  /** Admits the request that is next, or refuses it where too little time is left to run it. */
  void decideNext(long nowNanos) {
    Admission admission = queue.poll();
    if (isTooLate(admission, nowNanos)) {
      admission.refuse(refusal(Reason.DEADLINE_PASSED, nowNanos));
      return;
    }
    queue.charge(admission.request());
    inFlight++;
    admission.admit(nowNanos);
  }

  void onReleased(Admission admission, long nowNanos) {
    inFlight--;
    drain.onEnd(nowNanos);
    double sample = (double) (nowNanos - admission.admittedNanos());
    meanRunNanos += meanRunNanos == 0 ? sample : RUN_WEIGHT * (sample - meanRunNanos);
  }

  void refuse(Admission admission, Reason reason, long nowNanos) {
    queue.remove(admission);
    admission.refuse(refusal(reason, nowNanos));
  }

  /** Refuses what waits but has too little time left to run. */
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

  /** Whether the queue drains too slowly for the request's deadline. */
  boolean wouldMissDeadline(AdmissionRequest request, long nowNanos) {
    double rate = drain.perSecond(nowNanos);
    if (rate <= 0 || !waits()) {
      return false;
    }
    double waitNanos = queue.ahead(request) / rate * NANOS_PER_SECOND;
    return waitNanos + neededNanos(request, nowNanos) > request.deadlineNanos() - nowNanos;
  }

  private boolean isTooLate(Admission admission, long nowNanos) {
    AdmissionRequest request = admission.request();
    double leftNanos = (double) (request.deadlineNanos() - nowNanos);
    return leftNanos <= neededNanos(request, admission.offeredNanos());
  }

  /** Time that a run takes with some margin, but never most of what the caller allowed. */
  private double neededNanos(AdmissionRequest request, long offeredNanos) {
    double allowed = (double) (request.deadlineNanos() - offeredNanos);
    return Math.min(RUN_MARGIN * meanRunNanos, MAX_RUN_SHARE * allowed);
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
