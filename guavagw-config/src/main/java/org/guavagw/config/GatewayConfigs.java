package org.guavagw.config;

import java.util.List;
import java.util.stream.Stream;

/**
 * Factory methods for building a configuration in code. Every draft is immutable: each call returns
 * a new draft. Stateless.
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

  /** Starts from an empty configuration. */
  public static GatewayDraft gateway() {
    return new GatewayDraft(GatewayConfig.empty());
  }

  /** Starts from an existing configuration. */
  public static GatewayDraft gateway(GatewayConfig config) {
    return new GatewayDraft(config);
  }

  /** Starts a data centre that takes requests. */
  public static DataCentreDraft dataCentre(String id) {
    return new DataCentreDraft(new DataCentreConfig(id, "", DataCentreState.IN));
  }

  /** Starts a model without versions and with a price of 0. */
  public static ModelDraft model(String id) {
    return new ModelDraft(new ModelConfig(id, List.of(), new PriceConfig(0, 0)));
  }

  /** Starts a backend server with one slot that neither checks fencing nor resumes streams. */
  public static BackendServerDraft backendServer(String id) {
    return new BackendServerDraft(
        new BackendServerConfig(id, "", "", 0, List.of(), 1, 1, false, false, false));
  }

  /** Starts a plain service whose calls must not be retried. */
  public static PlainServiceDraft plainService(String id) {
    return new PlainServiceDraft(new PlainServiceConfig(id, List.of(), List.of(), 0));
  }

  /** Starts a cascade without steps. */
  public static CascadeDraft cascade(String taskClass) {
    return new CascadeDraft(new CascadeConfig(taskClass, List.of(), 0, 0));
  }

  /** Starts a team with no allowances, no budget and a limit of one concurrent request. */
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

  /** Starts a running rollout that moves all traffic in its only stage. */
  public static RolloutDraft rollout(String id) {
    return new RolloutDraft(
        new RolloutConfig(id, "", "", "", List.of(100), 0, RolloutState.RUNNING));
  }

  static <T> List<T> append(List<T> list, T element) {
    return Stream.concat(list.stream(), Stream.of(element)).toList();
  }
}
