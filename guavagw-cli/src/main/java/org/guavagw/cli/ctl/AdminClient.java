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
 * Calls the operators' API of entries, one after another until one answers. Thread-safe.
 *
 * <p>A change is sent again only with the same change id, so it takes effect at most once.
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

  /** Entries in the order in which they are asked. */
  List<String> entries() {
    return entries;
  }

  /** Reads from the first entry that can answer. */
  Either<CtlFailure, JsonNode> get(String path) {
    return first(entry -> from(entry, path));
  }

  /** Reads from one entry. */
  Either<CtlFailure, JsonNode> from(String entry, String path) {
    return call(entry, request(entry, path).get().build());
  }

  /** Reads from the first entry that has what is asked for. */
  Either<CtlFailure, JsonNode> find(String path) {
    CtlFailure best = new CtlFailure.Unreachable(List.of(), false);
    for (String entry : entries) {
      Either<CtlFailure, JsonNode> answer = from(entry, path);
      if (answer.isRight()) {
        return answer;
      }
      best = moreTelling(best, answer.getLeft());
    }
    return Either.left(best);
  }

  /** Sends a change to the first entry that can answer. */
  Either<CtlFailure, JsonNode> apply(ChangeDocument change) {
    List<CtlFailure> lost = new ArrayList<>();
    for (String entry : entries) {
      Request request = request(entry, "/admin/v1/config").post(body(change)).build();
      Either<CtlFailure, JsonNode> answer = call(entry, request);
      if (answer.isRight() || !isAway(answer.getLeft())) {
        return answer;
      }
      lost.add(answer.getLeft());
    }
    return Either.left(afterLoss(lost, change.changeId()));
  }

  /** Posts to one entry, without a body. */
  Either<CtlFailure, JsonNode> post(String entry, String path) {
    return call(entry, request(entry, path).post(RequestBody.create(new byte[0], null)).build());
  }

  private Either<CtlFailure, JsonNode> first(Function<String, Either<CtlFailure, JsonNode>> ask) {
    List<String> tried = new ArrayList<>();
    CtlFailure last = null;
    for (String entry : entries) {
      Either<CtlFailure, JsonNode> answer = ask.apply(entry);
      if (answer.isRight() || !isAway(answer.getLeft())) {
        return answer;
      }
      last = answer.getLeft();
      tried.add(reason(last));
    }
    return Either.left(
        last instanceof CtlFailure.Refused ? last : new CtlFailure.Unreachable(tried, false));
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
      throw new IllegalStateException("a change always has a JSON form", e);
    }
  }

  private static boolean isAway(CtlFailure failure) {
    return failure instanceof CtlFailure.Unreachable
        || (failure instanceof CtlFailure.Refused refused
            && (refused.code().equals("store_unavailable")
                || refused.code().equals("outcome_unknown")));
  }

  private static CtlFailure moreTelling(CtlFailure known, CtlFailure next) {
    boolean nextIsVague =
        next instanceof CtlFailure.Refused refused && refused.code().equals("request_never_seen");
    return known instanceof CtlFailure.Refused && (nextIsVague || isAway(next)) ? known : next;
  }

  private static String reason(CtlFailure failure) {
    return failure instanceof CtlFailure.Unreachable away
        ? String.join("; ", away.tried())
        : Messages.of(failure).why();
  }

  private static CtlFailure afterLoss(List<CtlFailure> lost, String changeId) {
    List<String> reasons = lost.stream().map(AdminClient::reason).toList();
    if (lost.stream().anyMatch(AdminClient::mayHaveEffect)) {
      return new CtlFailure.OutcomeUnknown(changeId, String.join("; ", reasons));
    }
    return lost.stream()
        .filter(CtlFailure.Refused.class::isInstance)
        .findFirst()
        .orElseGet(() -> new CtlFailure.Unreachable(reasons, false));
  }

  private static boolean mayHaveEffect(CtlFailure failure) {
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
