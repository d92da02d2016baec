package org.guavagw.cli.bench.policy;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;

/** Configurations and setup shared by the rollout scenarios. Stateless. */
final class RolloutSetup {
  static final String OLD = "v1";
  static final String NEW = "v2";

  private static final int MODEL = 1;
  private static final List<Integer> STAGES_PERCENT = List.of(5, 25, 50, 100);

  private RolloutSetup() {}

  static VersionRef version(WorkloadProfile workload, String id) {
    return new VersionRef(workload.models().get(MODEL), id);
  }

  /** Creates a configuration with a rollout at its first stage. */
  static GatewayConfig rollingOut(WorkloadProfile workload) {
    RolloutConfig rollout =
        new RolloutConfig(
            "r1", workload.models().get(MODEL), OLD, NEW, STAGES_PERCENT, 0, RolloutState.RUNNING);
    return config(workload, VersionState.STAGED, List.of(rollout));
  }

  /** Creates a configuration with both versions in service; the newer one gets all traffic. */
  static GatewayConfig inService(WorkloadProfile workload) {
    return config(workload, VersionState.SERVING, List.of());
  }

  static Set<String> allClasses(WorkloadProfile workload) {
    return workload.classes().stream().map(TaskClassProfile::name).collect(Collectors.toSet());
  }

  /** Simulates requests with a configuration and a policy, and traces the new version. */
  static RolloutTrace run(
      GatewayConfig config,
      WorkloadProfile workload,
      List<BenchRequest> requests,
      List<VersionFault> faults,
      long seed,
      Function<SimulatedControlPlane, RolloutPolicy> policyFactory) {
    SimulatedControlPlane controlPlane = new SimulatedControlPlane(config);
    AnswerSimulator simulator =
        new AnswerSimulator(workload, RatingAvailability.SAMPLED, faults, seed);
    return new RolloutSimulation(
            controlPlane, policyFactory.apply(controlPlane), simulator, version(workload, NEW))
        .run(requests);
  }

  private static GatewayConfig config(
      WorkloadProfile workload, VersionState newState, List<RolloutConfig> rollouts) {
    ModelConfig model =
        new ModelConfig(
            workload.models().get(MODEL),
            List.of(new VersionConfig(OLD, VersionState.SERVING), new VersionConfig(NEW, newState)),
            workload.prices().get(MODEL));
    GatewayConfig empty = GatewayConfig.empty();
    return new GatewayConfig(
        empty.dataCentres(),
        List.of(model),
        empty.backendServers(),
        empty.plainServices(),
        empty.cascades(),
        empty.teams(),
        rollouts);
  }
}
