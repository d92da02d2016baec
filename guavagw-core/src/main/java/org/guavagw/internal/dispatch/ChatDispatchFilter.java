package org.guavagw.internal.dispatch;

import io.vavr.control.Either;
import org.guavagw.Refusal;
import org.guavagw.internal.pipeline.Answered;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Filter;
import org.guavagw.internal.pipeline.Next;

/** Sends chat requests to model engines; the last filter of their pipeline. Thread-safe. */
public final class ChatDispatchFilter implements Filter {
  private final DispatchParts parts;

  /** Creates the filter. */
  public ChatDispatchFilter(DispatchParts parts) {
    this.parts = parts;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    return new ChatAttempts(parts, exchange).run();
  }
}
