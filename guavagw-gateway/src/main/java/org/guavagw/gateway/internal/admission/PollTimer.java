package org.guavagw.gateway.internal.admission;

/** Lets a scheduler be polled at a time of its choice, besides all other polls. */
public interface PollTimer {
  /** Polls the scheduler at a monotonic time or soon after it. */
  void pollAt(long nanos);
}
