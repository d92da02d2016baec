package org.guavagw.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Route;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.function.Supplier;
import org.guavagw.internal.config.ConfigChange;
import org.guavagw.internal.config.ConfigFailure;
import org.guavagw.internal.config.ConfigHistory;
import org.guavagw.internal.config.RevisionInfo;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.explain.DecisionLog;
import org.guavagw.internal.explain.LookupResult;

/**
 * The HTTP API for operators: configuration, status, decision records, state dump and draining.
 *
 * <p>Each request must carry the operators' token, which is compared in constant time. Thread-safe.
 */
public final class AdminApi {
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int DEFAULT_HISTORY = 20;

  private final ObjectMapper json;
  private final String token;
  private final ConfigHistory history;
  private final DecisionLog decisions;
  private final ConfigCheck check;
  private final Dependencies dependencies;

  /** Checks a configuration before it is accepted. */
  public interface ConfigCheck {
    /** Returns the faults of the configuration, one line each; empty if it is valid. */
    List<String> faultsOf(RevisionedConfig config);
  }

  /** The other views and actions of the entry that the API offers. Immutable. */
  public record Dependencies(
      Supplier<?> status,
      Supplier<?> dump,
      Supplier<String> metrics,
      Runnable onApplied,
      Runnable drain) {}

  /** Creates the API. */
  public AdminApi(
      ObjectMapper json,
      String token,
      ConfigHistory history,
      DecisionLog decisions,
      ConfigCheck check,
      Dependencies dependencies) {
    this.json = json;
    this.token = token;
    this.history = history;
    this.decisions = decisions;
    this.check = check;
    this.dependencies = dependencies;
  }

  /** Adds the API's routes to an application. */
  public void install(Jooby app) {
    app.get("/admin/v1/config", guarded(this::config));
    app.post("/admin/v1/config", guarded(this::apply));
    app.get("/admin/v1/history", guarded(this::history));
    app.get("/admin/v1/status", guarded(c -> send(c, dependencies.status().get())));
    app.get("/admin/v1/dump", guarded(c -> send(c, dependencies.dump().get())));
    app.get("/admin/v1/explain/{id}", guarded(this::explain));
    app.post("/admin/v1/drain", guarded(this::drain));
    app.get(
        "/metrics",
        guarded(c -> c.setResponseType("text/plain").send(dependencies.metrics().get())));
  }

  private Route.Handler guarded(Route.Handler handler) {
    return context -> isOperator(context) ? handler.apply(context) : refuse(context);
  }

  private boolean isOperator(Context context) {
    String sent = RequestMetadataReader.bearerToken(context).orElse("");
    boolean equal =
        MessageDigest.isEqual(
            sent.getBytes(StandardCharsets.UTF_8), token.getBytes(StandardCharsets.UTF_8));
    return equal && !token.isEmpty();
  }

  private Object refuse(Context context) {
    return fail(context, UNAUTHORIZED, "unauthorized", "the operators' token is missing or wrong");
  }

  private Object config(Context context) throws JsonProcessingException {
    Either<ConfigFailure, RevisionedConfig> latest = history.latest();
    return latest.isLeft() ? fail(context, latest.getLeft()) : send(context, latest.get());
  }

  private Object apply(Context context) throws JsonProcessingException {
    ConfigChange change;
    try {
      change = json.readValue(context.body().bytes(), ConfigChange.class);
    } catch (IOException e) {
      return fail(context, UNPROCESSABLE, "malformed_change", String.valueOf(e.getMessage()));
    }
    RevisionedConfig proposed =
        new RevisionedConfig(change.expectedRevision() + 1, change.config());
    List<String> faults = check.faultsOf(proposed);
    if (!faults.isEmpty()) {
      return fail(context, UNPROCESSABLE, "invalid_config", String.join("\n", faults));
    }
    Either<ConfigFailure, RevisionedConfig> applied = history.apply(change);
    if (applied.isLeft()) {
      return fail(context, applied.getLeft());
    }
    dependencies.onApplied().run();
    return send(context, new Applied(applied.get().revision()));
  }

  /** The answer to an accepted change. Immutable. */
  public record Applied(long revision) {}

  private Object history(Context context) throws JsonProcessingException {
    int limit = context.query("limit").intValue(DEFAULT_HISTORY);
    Either<ConfigFailure, List<RevisionInfo>> entries = history.history(limit);
    return entries.isLeft() ? fail(context, entries.getLeft()) : send(context, entries.get());
  }

  private Object explain(Context context) throws JsonProcessingException {
    String id = context.path("id").value();
    LookupResult lookup = decisions.find(id);
    if (lookup instanceof LookupResult.Found found) {
      return send(context, found.record());
    }
    if (lookup instanceof LookupResult.StoreUnavailable unavailable) {
      return fail(context, UNAVAILABLE, "store_unavailable", unavailable.reason());
    }
    return fail(context, NOT_FOUND, codeOf(lookup), lookup.toString());
  }

  private static String codeOf(LookupResult lookup) {
    if (lookup instanceof LookupResult.NotYetWritten) {
      return "record_not_yet_written";
    }
    return lookup instanceof LookupResult.Lost ? "record_lost" : "request_never_seen";
  }

  private Object drain(Context context) throws JsonProcessingException {
    dependencies.drain().run();
    return send(context, dependencies.status().get());
  }

  private Object fail(Context context, ConfigFailure failure) {
    if (failure instanceof ConfigFailure.Conflict conflict) {
      return fail(
          context, CONFLICT, "conflict", "the newest revision is " + conflict.currentRevision());
    }
    if (failure instanceof ConfigFailure.OutcomeUnknown unknown) {
      return fail(
          context, BAD_GATEWAY, "outcome_unknown", "apply " + unknown.changeId() + " again");
    }
    return fail(context, UNAVAILABLE, "store_unavailable", failure.toString());
  }

  private Object fail(Context context, int status, String code, String message) {
    context.setResponseCode(status);
    context.setResponseType("application/json");
    JsonNode error = json.createObjectNode().put("code", code).put("message", message);
    return context.send(json.createObjectNode().set("error", error).toString());
  }

  private Object send(Context context, Object body) throws JsonProcessingException {
    context.setResponseType("application/json");
    return context.send(json.writeValueAsString(body));
  }
}
