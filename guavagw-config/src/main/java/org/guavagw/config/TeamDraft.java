package org.guavagw.config;

import static org.guavagw.config.GatewayConfigs.append;

import java.util.List;

/** A team as it is written. Immutable. */
public record TeamDraft(TeamConfig build) {
  /** Adds a key by its SHA-256 hash in lower-case hex. */
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

  /** Allows versions of a model; all of them if none is named. */
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

  /** Sets what the team may spend in a day of UTC, in micro-units of currency. */
  public TeamDraft spendingPerDay(long micros) {
    return bounds(new BudgetConfig(micros), build.limits());
  }

  /** Sets requests at once at one entry, and the share of a contended backend server. */
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
