package org.guavagw.internal.http;

import com.google.common.base.Ticker;
import io.jooby.Context;
import java.time.Duration;
import java.util.Optional;
import org.guavagw.internal.pipeline.RequestMetadata;

/** Reads request metadata from HTTP headers. Immutable and thread-safe. */
final class RequestMetadataReader {
  private static final String BEARER = "Bearer ";
  private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(10);
  private static final Duration MAX_DEADLINE = Duration.ofHours(1);
  private static final int MAX_HEADER_CHARS = 256;

  private final Ticker monotonic;

  RequestMetadataReader(Ticker monotonic) {
    this.monotonic = monotonic;
  }

  RequestMetadata read(Context context) {
    return new RequestMetadata(
        bearerToken(context),
        header(context, Headers.SESSION_ID),
        header(context, Headers.IDEMPOTENCY_KEY),
        monotonic.read() + deadline(context).toNanos());
  }

  static Optional<String> bearerToken(Context context) {
    return Optional.ofNullable(context.header("Authorization").valueOrNull())
        .filter(v -> v.startsWith(BEARER))
        .map(v -> v.substring(BEARER.length()).strip());
  }

  private static Optional<String> header(Context context, String name) {
    return Optional.ofNullable(context.header(name).valueOrNull())
        .filter(v -> !v.isBlank() && v.length() <= MAX_HEADER_CHARS);
  }

  private static Duration deadline(Context context) {
    String value = context.header(Headers.DEADLINE_MS).valueOrNull();
    if (value == null) {
      return DEFAULT_DEADLINE;
    }
    try {
      Duration requested = Duration.ofMillis(Math.max(1, Long.parseLong(value)));
      return requested.compareTo(MAX_DEADLINE) < 0 ? requested : MAX_DEADLINE;
    } catch (NumberFormatException e) {
      return DEFAULT_DEADLINE;
    }
  }
}
