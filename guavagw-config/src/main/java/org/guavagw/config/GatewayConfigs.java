package org.guavagw.config;

import java.util.List;
import java.util.stream.Stream;

/**
 * Starting points for writing a configuration as a program. Every part is immutable: each call
 * gives a new part and leaves the old one as it is. Stateless.
 *
 * <pre>{@code
 * GatewayDraft gateway =
 *     GatewayConfigs.gateway()
 *         .with(dataCentre("aswan-hq").in("upper-egypt"))
 *         .with(model("small").pricedAt(50, 200).serving("v1").staged("v2"))
 *         .with(
 *             backendServer("engine-1")
 *                 .in("aswan-hq")
 *                 .at("10.0.0.5", 8000)
 *                 .serving("small", "v1", "v2")
 *                 .slots(8, 2))
 *         .with(
 *             cascade("level-lookup").through("small").toQuality(0.8).weighingLatency(0.5))
 *         .with(team("hydrology").keyHash(hash).mayUse("small").mayAsk("level-lookup"));
 * System.out.println(ConfigJson.print(gateway.build()));
 * }</pre>
 */
public final class GatewayConfigs {
  private GatewayConfigs() {}

  /** A configuration without anything in it. */
  public static GatewayDraft gateway() {
    return new GatewayDraft(GatewayConfig.empty());
  }

  /** A configuration that starts from another. */
  public static GatewayDraft gateway(GatewayConfig config) {
    return new GatewayDraft(config);
  }

  /** A data centre that takes work. */
  public static DataCentreDraft dataCentre(String id) {
    return new DataCentreDraft(new DataCentreConfig(id, "", DataCentreState.IN));
  }

  /** A model without versions that costs nothing. */
  public static ModelDraft model(String id) {
    return new ModelDraft(new ModelConfig(id, List.of(), new PriceConfig(0, 0)));
  }

  /** A backend server with one slot that does not check fencing numbers nor resume streams. */
  public static BackendServerDraft backendServer(String id) {
    return new BackendServerDraft(
        new BackendServerConfig(id, "", "", 0, List.of(), 1, 1, false, false, false));
  }

  /** A plain service none of whose calls may be repeated. */
  public static PlainServiceDraft plainService(String id) {
    return new PlainServiceDraft(new PlainServiceConfig(id, List.of(), List.of(), 0));
  }

  /** A cascade without steps. */
  public static CascadeDraft cascade(String taskClass) {
    return new CascadeDraft(new CascadeConfig(taskClass, List.of(), 0, 0));
  }

  /** A team that may use nothing and spend nothing, with one request at once. */
  public static TeamDraft team(String id) {
    return new TeamDraft(
        new TeamConfig(
            id,
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            new BudgetConfig(0),
            new LimitConfig(1, 1)));
  }

  /** A rollout that runs, at its first stage, with all traffic at once unless told otherwise. */
  public static RolloutDraft rollout(String id) {
    return new RolloutDraft(
        new RolloutConfig(id, "", "", "", List.of(100), 0, RolloutState.RUNNING));
  }

  static <T> List<T> append(List<T> list, T element) {
    return Stream.concat(list.stream(), Stream.of(element)).toList();
  }
}
