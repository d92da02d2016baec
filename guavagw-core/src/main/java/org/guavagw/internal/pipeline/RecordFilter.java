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
 * Keeps the decision record of every request, counts outcomes and logs one line. Thread-safe.
 *
 * <p>Keys and prompts are never logged.
 */
public final class RecordFilter implements Filter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ANSWERED = "answered";

  private final DecisionLog log;
  private final MetricRegistry metrics;
  private final Clocks clocks;

  /** Creates the filter. */
  public RecordFilter(DecisionLog log, MetricRegistry metrics, Clocks clocks) {
    this.log = log;
    this.metrics = metrics;
    this.clocks = clocks;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    long start = clocks.monotonic().read();
    Either<Refusal, Answered> result = next.proceed(exchange);
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
