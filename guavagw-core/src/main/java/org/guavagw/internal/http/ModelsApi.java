package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.internal.pipeline.AuthenticationFilter;

/** Lists the task classes, models and versions that a team may use. Thread-safe. */
public final class ModelsApi {
  private final ObjectMapper json;
  private final ConfigSource configs;
  private final AuthenticationFilter authenticate;
  private final RequestIds ids;

  /** Creates the API. */
  public ModelsApi(
      ObjectMapper json, ConfigSource configs, AuthenticationFilter authenticate, RequestIds ids) {
    this.json = json;
    this.configs = configs;
    this.authenticate = authenticate;
    this.ids = ids;
  }

  /** Adds the API's route to an application. */
  public void install(Jooby app) {
    app.get("/v1/models", this::list);
  }

  private Object list(Context context) {
    String requestId = ids.next();
    Optional<TeamConfig> team = authenticate.teamOf(RequestMetadataReader.bearerToken(context));
    if (team.isEmpty()) {
      Refusal refusal =
          Refusal.notRun(RefusalCode.UNAUTHENTICATED, "the API key is missing or unknown");
      return RefusalWriter.send(json, context, refusal, requestId);
    }
    context.setResponseHeader(Headers.REQUEST_ID, requestId);
    context.setResponseType("application/json");
    return context.send(listFor(team.get()).toString());
  }

  private ObjectNode listFor(TeamConfig team) {
    GatewayConfig config = configs.current().config();
    ObjectNode root = json.createObjectNode().put("object", "list");
    ArrayNode data = root.putArray("data");
    team.cascades().stream()
        .filter(c -> config.cascade(c).isPresent())
        .forEach(c -> add(data, c, "cascade"));
    for (ModelConfig model : config.models()) {
      addModel(data, team, model);
    }
    return root;
  }

  private static void addModel(ArrayNode data, TeamConfig team, ModelConfig model) {
    boolean listed = false;
    for (VersionConfig version : model.versions()) {
      VersionRef ref = new VersionRef(model.id(), version.id());
      if (version.state() == VersionState.WITHDRAWN || !team.allows(ref)) {
        continue;
      }
      if (!listed) {
        add(data, model.id(), "model");
        listed = true;
      }
      add(data, ref.toString(), "version");
    }
  }

  private static void add(ArrayNode data, String id, String kind) {
    data.addObject().put("id", id).put("object", "model").put("created", 0).put("owned_by", kind);
  }
}
