package org.guavagw.gateway.internal.relay;

import org.guavagw.Refusal;
import org.guavagw.gateway.internal.admission.RequestScheduler;
import org.guavagw.gateway.internal.admission.RequestTraits;
import org.guavagw.gateway.internal.admission.WaitingRequest;

/**
 * An exchange that starts once the scheduler lets it, and whose progress the scheduler learns.
 * Traffic thread only.
 *
 * <p>Invariant: the scheduler is notified of the end exactly once, as an exchange ends once.
 */
final class ScheduledExchange implements WaitingRequest, ExchangeListener {
  private final RequestScheduler scheduler;
  private final ExchangeDependencies shared;
  private final Exchange exchange;
  private final String id;
  private final RequestTraits traits;
  private final Runnable onDone;
  private boolean hasWaited;

  ScheduledExchange(
      ExchangeDependencies shared, AdmittedRequest request, AnswerSink sink, Runnable onDone) {
    this.shared = shared;
    this.scheduler = shared.scheduler();
    this.onDone = onDone;
    this.id = request.caller().id();
    this.exchange = new Exchange(shared, request, sink, this);
    this.traits = exchange.traits();
  }

  /** Lets the scheduler decide when the exchange starts. */
  void submit() {
    scheduler.submit(this, shared.ticker().read());
  }

  Exchange exchange() {
    return exchange;
  }

  @Override
  public String id() {
    return id;
  }

  @Override
  public RequestTraits traits() {
    return traits;
  }

  @Override
  public boolean tryStart(long nowNanos) {
    boolean started = exchange.tryStart(nowNanos, hasWaited);
    hasWaited |= !started;
    return started;
  }

  @Override
  public void refuse(Refusal refusal) {
    exchange.refuseUnstarted(refusal);
  }

  @Override
  public void onAnswering() {
    scheduler.onAnswering(this, shared.ticker().read());
  }

  @Override
  public void onDone() {
    onDone.run();
    scheduler.onEnded(this, shared.ticker().read());
  }
}
