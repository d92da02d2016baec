package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.guavagw.platform.AnswerSample;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.RatingService;

/** A rating service that takes a sample as JSON and gives {@code {"rating": 0.5}}. Thread-safe. */
public record JsonRatingService(PlatformHttpClient caller, HttpUrl url) implements RatingService {
  @Override
  public Either<PlatformFailure, Double> rate(AnswerSample sample) {
    Question body =
        new Question(
            sample.requestId(),
            sample.taskClass(),
            sample.version().toString(),
            sample.question(),
            sample.answer());
    return caller
        .callForJson(new Request.Builder().url(url).post(caller.jsonBody(body)), Reply.class)
        .flatMap(JsonRatingService::rating);
  }

  private static Either<PlatformFailure, Double> rating(Reply reply) {
    Double rating = reply.rating();
    boolean valid = rating != null && rating >= 0 && rating <= 1;
    return valid
        ? Either.right(rating)
        : Either.left(PlatformFailure.unknown("rating out of range"));
  }

  /** What is to be rated. */
  private record Question(
      String requestId, String taskClass, String version, String question, String answer) {}

  /** The rating; null when it is missing. */
  private record Reply(Double rating) {}
}
