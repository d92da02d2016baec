package org.guavagw.config;

import static org.guavagw.config.GatewayConfigs.append;

import java.util.List;

/** Builder of a {@link TeamConfig}. Immutable: each call returns a new draft. */
public record TeamDraft(TeamConfig build) {
  /** Adds an API key by its SHA-256 hash in lower-case hex. */
  public TeamDraft keyHash(String hash) {
    return new TeamDraft(
        new TeamConfig(
            build.id(),
            append(build.keyHashes(), hash),
            build.allowances(),
            build.cascades(),
            build.plainServices(),
            build.budget(),
            build.limits()));
  }

  /** Allows versions of a model, or all of its versions if none is given. */
  public TeamDraft mayUse(String model, String... versions) {
    AllowanceConfig allowance = new AllowanceConfig(model, List.of(versions));
    return use(append(build.allowances(), allowance), build.cascades(), build.plainServices());
  }

  /** Allows a task class. */
  public TeamDraft mayAsk(String taskClass) {
    return use(build.allowances(), append(build.cascades(), taskClass), build.plainServices());
  }

  /** Allows a plain service. */
  public TeamDraft mayCall(String plainService) {
    return use(build.allowances(), build.cascades(), append(build.plainServices(), plainService));
  }

  /** Sets what the team may spend per UTC day, in micro-units of currency. */
  public TeamDraft spendingPerDay(long micros) {
    return bounds(new BudgetConfig(micros), build.limits());
  }

  /** Sets the limit of concurrent requests at one entry and the fair-share weight. */
  public TeamDraft limitedTo(int concurrentRequests, int fairShareWeight) {
    return bounds(build.budget(), new LimitConfig(concurrentRequests, fairShareWeight));
  }

  private TeamDraft use(
      List<AllowanceConfig> allowances, List<String> cascades, List<String> plainServices) {
    return new TeamDraft(
        new TeamConfig(
            build.id(),
            build.keyHashes(),
            allowances,
            cascades,
            plainServices,
            build.budget(),
            build.limits()));
  }

  private TeamDraft bounds(BudgetConfig budget, LimitConfig limits) {
    return new TeamDraft(
        new TeamConfig(
            build.id(),
            build.keyHashes(),
            build.allowances(),
            build.cascades(),
            build.plainServices(),
            budget,
            limits));
  }
}
