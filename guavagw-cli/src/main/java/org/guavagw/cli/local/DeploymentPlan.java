package org.guavagw.cli.local;

import java.util.List;
import org.guavagw.cli.bench.Deployment;

/**
 * Topology of a local deployment. Immutable.
 *
 * @param lookupClass task class with short answers
 * @param reportClass task class with long answers
 * @param ledger id of the plain service whose POST requests are not idempotent
 * @param post path of these POST requests
 */
public record DeploymentPlan(
    Deployment deployment,
    String region,
    List<DataCentrePlan> dataCentres,
    String lookupClass,
    String reportClass,
    String ledger,
    String post) {
  public DeploymentPlan {
    dataCentres = List.copyOf(dataCentres);
  }

  /** One data centre of a plan. Immutable. */
  public record DataCentrePlan(String id, int entries, int engines, int ledgers) {}

  /** Returns the plan of a deployment at its current size. */
  public static DeploymentPlan of(Deployment deployment) {
    return switch (deployment) {
      case NILE_BASIN ->
          new DeploymentPlan(
              deployment,
              "upper-egypt",
              List.of(
                  new DataCentrePlan("aswan-hq", 2, 3, 1),
                  new DataCentrePlan("high-dam", 2, 3, 1),
                  new DataCentrePlan("esna-barr", 2, 3, 1),
                  new DataCentrePlan("luxor-ops", 2, 3, 1)),
              "level-lookup",
              "inflow-report",
              "ledger",
              "/corrections");
      case SWAP_ASSOCIATION ->
          new DeploymentPlan(
              deployment,
              "south-jamaica",
              List.of(
                  new DataCentrePlan("kingston", 3, 3, 1),
                  new DataCentrePlan("spanish-town", 2, 3, 1),
                  new DataCentrePlan("may-pen", 2, 2, 1)),
              "size-question",
              "condition-report",
              "ledger",
              "/confirmations");
    };
  }

  /** Returns the number of entries. */
  public int entryCount() {
    return dataCentres.stream().mapToInt(DataCentrePlan::entries).sum();
  }

  /** Returns the same deployment with one entry and at most two engines in each data centre. */
  public DeploymentPlan small() {
    List<DataCentrePlan> fewer =
        dataCentres.stream()
            .map(d -> new DataCentrePlan(d.id(), 1, Math.min(2, d.engines()), 1))
            .toList();
    return new DeploymentPlan(deployment, region, fewer, lookupClass, reportClass, ledger, post);
  }
}
