package org.guavagw.internal.pipeline;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.concurrent.ThreadLocalRandom;
import org.guavagw.Refusal;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.chat.CascadeAnswerBuffer;
import org.guavagw.internal.chat.TextCapturingAnswerSink;
import org.guavagw.internal.rating.AnswerRater;
import org.guavagw.internal.rating.RatingObserver;
import org.guavagw.platform.AnswerSample;

/**
 * Has a sample of the answers rated after they were sent. Answers that a cascade buffers are
 * skipped, since the cascade rates them itself. Thread-safe.
 */
public final class AnswerRatingFilter implements Filter {
  private static final double SAMPLED_FRACTION = 0.1;

  private final ObjectMapper json;
  private final AnswerRater rater;
  private final RatingObserver observer;

  /** Creates the filter. */
  public AnswerRatingFilter(ObjectMapper json, AnswerRater rater, RatingObserver observer) {
    this.json = json;
    this.rater = rater;
    this.observer = observer;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    boolean isBufferedByCascade = exchange.chat().sink() instanceof CascadeAnswerBuffer;
    if (isBufferedByCascade || ThreadLocalRandom.current().nextDouble() >= SAMPLED_FRACTION) {
      return next.proceed(exchange);
    }
    TextCapturingAnswerSink captured = new TextCapturingAnswerSink(exchange.chat().sink(), json);
    return next.proceed(exchange.withSink(captured)).peek(answer -> rate(exchange, captured));
  }

  private void rate(Exchange exchange, TextCapturingAnswerSink captured) {
    VersionRef version = exchange.requireVersion().ref();
    String taskClass = exchange.requireTarget().name();
    String team = exchange.requireTeam().id();
    AnswerSample sample =
        new AnswerSample(
            exchange.requestId(),
            taskClass,
            version,
            exchange.chat().request().prompt(),
            captured.text());
    rater.rateLater(sample, rating -> observer.onRated(team, taskClass, version, rating));
  }
}
