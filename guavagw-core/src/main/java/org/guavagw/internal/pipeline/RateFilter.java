package org.guavagw.internal.pipeline;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.concurrent.ThreadLocalRandom;
import org.guavagw.Refusal;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.chat.BufferedAnswer;
import org.guavagw.internal.chat.CopiedAnswer;
import org.guavagw.internal.rating.AnswerRater;
import org.guavagw.internal.rating.RatingObserver;
import org.guavagw.platform.AnswerSample;

/**
 * Has a sample of the answers rated after they were sent. Answers that a cascade holds back are
 * rated there. Thread-safe.
 */
public final class RateFilter implements Filter {
  private static final double SAMPLED_SHARE = 0.1;

  private final ObjectMapper json;
  private final AnswerRater rater;
  private final RatingObserver observer;

  /** Creates the filter. */
  public RateFilter(ObjectMapper json, AnswerRater rater, RatingObserver observer) {
    this.json = json;
    this.rater = rater;
    this.observer = observer;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    boolean held = exchange.chat().sink() instanceof BufferedAnswer;
    if (held || ThreadLocalRandom.current().nextDouble() >= SAMPLED_SHARE) {
      return next.proceed(exchange);
    }
    CopiedAnswer copy = new CopiedAnswer(exchange.chat().sink(), json);
    return next.proceed(exchange.withSink(copy)).peek(answered -> rate(exchange, copy));
  }

  private void rate(Exchange exchange, CopiedAnswer copy) {
    VersionRef version = exchange.requireVersion().ref();
    String taskClass = exchange.requireTarget().name();
    String team = exchange.requireTeam().id();
    AnswerSample sample =
        new AnswerSample(
            exchange.requestId(),
            taskClass,
            version,
            exchange.chat().request().prompt(),
            copy.text());
    rater.rateLater(sample, rating -> observer.rated(team, taskClass, version, rating));
  }
}
