package org.guavagw.cli.local;

import java.util.List;
import org.guavagw.cli.bench.Deployment;

/**
 * Shape of a deployment that runs in one process. Immutable.
 *
 * @param lookupClass task class of short questions
 * @param reportClass task class of long answers
 * @param ledger id of the plain service whose posts may not be repeated
 * @param post path of those posts
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

  /** One data centre of a plan; immutable. */
  public record DataCentrePlan(String id, int entries, int engines, int ledgers) {}

  /** The plan of a deployment as it stands today. */
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

  /** How many entries the plan has. */
  public int entryCount() {
    return dataCentres.stream().mapToInt(DataCentrePlan::entries).sum();
  }
}
