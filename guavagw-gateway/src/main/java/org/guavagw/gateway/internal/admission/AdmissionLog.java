package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import org.guavagw.gateway.internal.logging.EventLog;

/**
 * Writes a line for each request that waits or is refused; the log bounds their rate. Stateless.
 */
public final class AdmissionLog implements AdmissionListener {
  private final EventLog log;

  /** Creates a listener that writes to a log. */
  public AdmissionLog(EventLog log) {
    this.log = log;
  }

  @Override
  public void onOffered(RequestTraits traits) {
    // Every request has a line when it ends.
  }

  @Override
  public void onQueued(WaitingRequest request, QueueState state) {
    line("request_queued", request, state).write();
  }

  @Override
  public void onStarted(RequestTraits traits, Duration wait) {
    // The line of its first attempt says so.
  }

  @Override
  public void onEnded(RequestTraits traits) {
    // Every request has a line when it ends.
  }

  @Override
  public void onLeft(RequestTraits traits) {
    // Every request has a line when it ends.
  }

  @Override
  public void onRefused(
      WaitingRequest request, RefusalReason reason, QueueState state, Duration retryAfter) {
    line("request_not_admitted", request, state)
        .with("reason", reason.label())
        .with("retry_after_ms", retryAfter.toMillis())
        .write();
  }

  private EventLog.Line line(String event, WaitingRequest request, QueueState state) {
    RequestTraits traits = request.traits();
    return log.event(event)
        .with("id", request.id())
        .with("service", traits.service())
        .with("route", traits.route())
        .with("team", traits.team())
        .with("rank", traits.rank())
        .with("waiting", state.waiting())
        .with("running", state.running())
        .with("drain_per_s", Math.round(state.drainPerSecond()))
        .with("team_rate_per_s", Math.round(state.ratePerSecond()))
        .with("expected_wait_ms", state.waitMillis())
        .with("allowed_wait_ms", state.allowedMillis())
        .with("held_ms", state.heldMillis())
        .with("left_ms", state.leftMillis());
  }
}
