package org.guavagw.cli.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Calls the admin API of the entries, one after another until one answers. Thread-safe.
 *
 * <p>A change is resent only with the same change id, so it takes effect at most once.
 */
final class AdminClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
  private static final MediaType JSON = MediaType.get("application/json");

  private final OkHttpClient http =
      new OkHttpClient.Builder()
          .connectTimeout(CONNECT_TIMEOUT)
          .callTimeout(CALL_TIMEOUT)
          .retryOnConnectionFailure(false)
          .build();
  private final ObjectMapper mapper = new ObjectMapper();
  private final List<String> entries;
  private final String token;

  AdminClient(List<String> entries, String token) {
    this.entries = List.copyOf(entries);
    this.token = token;
  }

  /** Returns the entries in the order in which they are queried. */
  List<String> entries() {
    return entries;
  }

  /** Reads from the first available entry. */
  Either<CtlFailure, JsonNode> get(String path) {
    return first(entry -> from(entry, path));
  }

  /** Reads from one entry. */
  Either<CtlFailure, JsonNode> from(String entry, String path) {
    return call(entry, request(entry, path).get().build());
  }

  /** Reads from the first entry that has the requested resource. */
  Either<CtlFailure, JsonNode> find(String path) {
    CtlFailure best = new CtlFailure.Unreachable(List.of(), false);
    for (String entry : entries) {
      Either<CtlFailure, JsonNode> answer = from(entry, path);
      if (answer.isRight()) {
        return answer;
      }
      best = moreInformative(best, answer.getLeft());
    }
    return Either.left(best);
  }

  /** Sends a change to the first available entry. */
  Either<CtlFailure, JsonNode> apply(ChangeDocument change) {
    List<CtlFailure> failures = new ArrayList<>();
    for (String entry : entries) {
      Request request = request(entry, "/admin/v1/config").post(body(change)).build();
      Either<CtlFailure, JsonNode> answer = call(entry, request);
      if (answer.isRight() || !isUnavailable(answer.getLeft())) {
        return answer;
      }
      failures.add(answer.getLeft());
    }
    return Either.left(combinedFailure(failures, change.changeId()));
  }

  /** Sends a POST request without a body to one entry. */
  Either<CtlFailure, JsonNode> post(String entry, String path) {
    return call(entry, request(entry, path).post(RequestBody.create(new byte[0], null)).build());
  }

  private Either<CtlFailure, JsonNode> first(Function<String, Either<CtlFailure, JsonNode>> ask) {
    List<String> errors = new ArrayList<>();
    CtlFailure last = null;
    for (String entry : entries) {
      Either<CtlFailure, JsonNode> answer = ask.apply(entry);
      if (answer.isRight() || !isUnavailable(answer.getLeft())) {
        return answer;
      }
      last = answer.getLeft();
      errors.add(reason(last));
    }
    return Either.left(
        last instanceof CtlFailure.Refused ? last : new CtlFailure.Unreachable(errors, false));
  }

  private Either<CtlFailure, JsonNode> call(String entry, Request request) {
    try (Response response = http.newCall(request).execute()) {
      String text = response.body() == null ? "" : response.body().string();
      return response.isSuccessful()
          ? Either.right(mapper.readTree(text))
          : Either.left(refusal(entry, response.code(), text));
    } catch (ConnectException e) {
      return Either.left(new CtlFailure.Unreachable(List.of(entry + ": " + e.getMessage()), false));
    } catch (IOException e) {
      return Either.left(new CtlFailure.Unreachable(List.of(entry + ": " + e.getMessage()), true));
    }
  }

  private CtlFailure refusal(String entry, int status, String text) {
    try {
      JsonNode error = mapper.readTree(text).path("error");
      return new CtlFailure.Refused(
          entry, status, error.path("code").asText(""), error.path("message").asText(text));
    } catch (JsonProcessingException e) {
      return new CtlFailure.Refused(entry, status, "", text);
    }
  }

  private Request.Builder request(String entry, String path) {
    return new Request.Builder()
        .url("http://" + entry + path)
        .header("Authorization", "Bearer " + token);
  }

  private RequestBody body(ChangeDocument change) {
    try {
      return RequestBody.create(mapper.writeValueAsBytes(change), JSON);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialize a change as JSON", e);
    }
  }

  private static boolean isUnavailable(CtlFailure failure) {
    return failure instanceof CtlFailure.Unreachable
        || (failure instanceof CtlFailure.Refused refused
            && (refused.code().equals("store_unavailable")
                || refused.code().equals("outcome_unknown")));
  }

  private static CtlFailure moreInformative(CtlFailure known, CtlFailure next) {
    boolean nextIsVague =
        next instanceof CtlFailure.Refused refused && refused.code().equals("request_never_seen");
    return known instanceof CtlFailure.Refused && (nextIsVague || isUnavailable(next))
        ? known
        : next;
  }

  private static String reason(CtlFailure failure) {
    return failure instanceof CtlFailure.Unreachable away
        ? String.join("; ", away.errors())
        : FailureMessages.of(failure).why();
  }

  private static CtlFailure combinedFailure(List<CtlFailure> failures, String changeId) {
    List<String> reasons = failures.stream().map(AdminClient::reason).toList();
    if (failures.stream().anyMatch(AdminClient::mayHaveTakenEffect)) {
      return new CtlFailure.OutcomeUnknown(changeId, String.join("; ", reasons));
    }
    return failures.stream()
        .filter(CtlFailure.Refused.class::isInstance)
        .findFirst()
        .orElseGet(() -> new CtlFailure.Unreachable(reasons, false));
  }

  private static boolean mayHaveTakenEffect(CtlFailure failure) {
    if (failure instanceof CtlFailure.Unreachable unreachable) {
      return unreachable.sent();
    }
    return failure instanceof CtlFailure.Refused refused
        && refused.code().equals("outcome_unknown");
  }

  @Override
  public void close() {
    http.dispatcher().executorService().shutdown();
    http.connectionPool().evictAll();
  }
}
