package org.guavagw.internal.dispatch;

import io.vavr.control.Either;
import org.guavagw.Refusal;
import org.guavagw.internal.pipeline.CompletedAnswer;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Filter;
import org.guavagw.internal.pipeline.FilterChain;

/** Sends chat requests to model engines. The last filter of the chat pipeline. Thread-safe. */
public final class ChatDispatchFilter implements Filter {
  private final DispatchDependencies dependencies;

  /** Creates the filter. */
  public ChatDispatchFilter(DispatchDependencies dependencies) {
    this.dependencies = dependencies;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    return new ChatAttempts(dependencies, exchange).run();
  }
}
