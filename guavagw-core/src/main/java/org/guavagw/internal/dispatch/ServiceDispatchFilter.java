package org.guavagw.internal.dispatch;

import io.vavr.control.Either;
import org.guavagw.Refusal;
import org.guavagw.internal.pipeline.CompletedAnswer;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Filter;
import org.guavagw.internal.pipeline.FilterChain;
import org.guavagw.internal.service.ServiceClient;

/** Sends calls to plain services. The last filter of the service pipeline. Thread-safe. */
public final class ServiceDispatchFilter implements Filter {
  private final DispatchDependencies dependencies;
  private final ServiceClient services;

  /** Creates the filter. */
  public ServiceDispatchFilter(DispatchDependencies dependencies, ServiceClient services) {
    this.dependencies = dependencies;
    this.services = services;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    return new ServiceAttempts(dependencies, services, exchange).run();
  }
}
