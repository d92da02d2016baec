package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.guavagw.platform.AnswerSample;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.RatingService;

/** Client of a rating service that takes JSON and answers {@code {"rating": 0.5}}. Thread-safe. */
public record JsonRatingService(PlatformHttpClient client, HttpUrl url) implements RatingService {
  @Override
  public Either<PlatformFailure, Double> rate(AnswerSample sample) {
    RatingRequest body =
        new RatingRequest(
            sample.requestId(),
            sample.taskClass(),
            sample.version().toString(),
            sample.question(),
            sample.answer());
    return client
        .callForJson(new Request.Builder().url(url).post(client.jsonBody(body)), RatingReply.class)
        .flatMap(JsonRatingService::rating);
  }

  private static Either<PlatformFailure, Double> rating(RatingReply reply) {
    Double rating = reply.rating();
    boolean valid = rating != null && rating >= 0 && rating <= 1;
    return valid
        ? Either.right(rating)
        : Either.left(PlatformFailure.unknown("rating out of range"));
  }

  /** The answer to be rated. */
  private record RatingRequest(
      String requestId, String taskClass, String version, String question, String answer) {}

  /** The rating, or null if it is missing. */
  private record RatingReply(Double rating) {}
}
