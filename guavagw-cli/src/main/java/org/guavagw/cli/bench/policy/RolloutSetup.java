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

/** Configurations and faults that the rollout scenarios share. Stateless. */
final class RolloutSetup {
  static final String OLD = "v1";
  static final String NEW = "v2";

  private static final int MODEL = 1;
  private static final List<Integer> STAGES_PERCENT = List.of(5, 25, 50, 100);

  private RolloutSetup() {}

  static VersionRef version(Workload workload, String id) {
    return new VersionRef(workload.models().get(MODEL), id);
  }

  /** A rollout at its first stage. */
  static GatewayConfig rollingOut(Workload workload) {
    RolloutConfig rollout =
        new RolloutConfig(
            "r1", workload.models().get(MODEL), OLD, NEW, STAGES_PERCENT, 0, RolloutState.RUNNING);
    return config(workload, VersionState.STAGED, List.of(rollout));
  }

  /** Both versions in service, so that the newer one takes all traffic. */
  static GatewayConfig inService(Workload workload) {
    return config(workload, VersionState.SERVING, List.of());
  }

  static Set<String> allClasses(Workload workload) {
    return workload.classes().stream().map(TaskMix::name).collect(Collectors.toSet());
  }

  /** Runs requests through a configuration under a policy; the new version is watched. */
  static RolloutTrace run(
      GatewayConfig config,
      Workload workload,
      List<BenchRequest> requests,
      List<VersionFault> faults,
      long seed,
      Function<ControlDesk, RolloutPolicy> newPolicy) {
    ControlDesk desk = new ControlDesk(config);
    AnswerWorld world = new AnswerWorld(workload, RatingSupply.SAMPLED, faults, seed);
    return new RolloutRun(desk, newPolicy.apply(desk), world, version(workload, NEW)).run(requests);
  }

  private static GatewayConfig config(
      Workload workload, VersionState newState, List<RolloutConfig> rollouts) {
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
