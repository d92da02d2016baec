package org.guavagw.internal.dispatch;

import io.vavr.control.Either;
import org.guavagw.Refusal;
import org.guavagw.internal.pipeline.Answered;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Filter;
import org.guavagw.internal.pipeline.Next;
import org.guavagw.internal.service.ServiceClient;

/** Sends calls to plain services; the last filter of their pipeline. Thread-safe. */
public final class ServiceDispatchFilter implements Filter {
  private final DispatchParts parts;
  private final ServiceClient services;

  /** Creates the filter. */
  public ServiceDispatchFilter(DispatchParts parts, ServiceClient services) {
    this.parts = parts;
    this.services = services;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    return new ServiceAttempts(parts, services, exchange).run();
  }
}
