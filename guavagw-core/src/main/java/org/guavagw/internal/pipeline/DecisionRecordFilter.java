package org.guavagw.internal.pipeline;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.guavagw.Refusal;
import org.guavagw.internal.explain.DecisionLog;
import org.guavagw.internal.explain.DecisionRecord;
import org.guavagw.internal.time.Clocks;

/**
 * Stores the decision record of each request, counts its outcome and logs one line. Thread-safe.
 *
 * <p>Invariant: API keys and prompts are never logged.
 */
public final class DecisionRecordFilter implements Filter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ANSWERED = "answered";

  private final DecisionLog log;
  private final MetricRegistry metrics;
  private final Clocks clocks;

  /** Creates the filter. */
  public DecisionRecordFilter(DecisionLog log, MetricRegistry metrics, Clocks clocks) {
    this.log = log;
    this.metrics = metrics;
    this.clocks = clocks;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    long start = clocks.monotonic().read();
    Either<Refusal, CompletedAnswer> result = next.proceed(exchange);
    Duration took = Duration.ofNanos(clocks.monotonic().read() - start);
    String outcome = result.fold(refusal -> refusal.code().wireName(), answered -> ANSWERED);
    DecisionRecord record = exchange.trace().finish(outcome);
    log.append(record);
    metrics.counter("requests." + outcome).inc();
    metrics.timer("requests.duration").update(took.toNanos(), TimeUnit.NANOSECONDS);
    logger.atInfo().log(
        "request=%s team=%s asked=%s revision=%d outcome=%s attempts=%d took_ms=%d",
        record.requestId(),
        record.team(),
        record.taskClass(),
        record.configRevision(),
        outcome,
        record.attempts().size(),
        took.toMillis());
    return result;
  }
}
