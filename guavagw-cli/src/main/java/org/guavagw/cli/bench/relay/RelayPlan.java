package org.guavagw.cli.bench.relay;

import java.util.List;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.cli.local.LocalDeployment;
import org.guavagw.cli.local.LocalOptions;

/** Deployment of the relay bench: one entry and one engine without delays. Stateless. */
final class RelayPlan {
  private RelayPlan() {}

  static DeploymentPlan of(Deployment deployment) {
    DeploymentPlan plan = DeploymentPlan.of(deployment);
    String centre = plan.dataCentres().get(0).id();
    return new DeploymentPlan(
        deployment,
        plan.region(),
        List.of(new DeploymentPlan.DataCentrePlan(centre, 1, 1, 1)),
        plan.lookupClass(),
        plan.reportClass(),
        plan.ledger(),
        plan.post());
  }

  static LocalDeployment start(DeploymentPlan plan) {
    return new LocalDeployment(plan, LocalOptions.standard(1).withInstantEngines());
  }
}
