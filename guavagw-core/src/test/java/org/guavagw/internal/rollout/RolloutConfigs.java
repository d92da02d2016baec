package org.guavagw.internal.rollout;

import java.util.List;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;

final class RolloutConfigs {
  static final VersionRef V1 = new VersionRef("m", "v1");
  static final VersionRef V2 = new VersionRef("m", "v2");

  private RolloutConfigs() {}

  static RolloutConfig rollout(int stage, RolloutState state) {
    return new RolloutConfig("r1", "m", "v1", "v2", List.of(5, 25, 50, 100), stage, state);
  }

  static GatewayConfig config(VersionState v1, VersionState v2, RolloutConfig... rollouts) {
    ModelConfig model =
        new ModelConfig(
            "m",
            List.of(new VersionConfig("v1", v1), new VersionConfig("v2", v2)),
            new PriceConfig(1, 1));
    GatewayConfig empty = GatewayConfig.empty();
    return new GatewayConfig(
        empty.dataCentres(),
        List.of(model),
        empty.backendServers(),
        empty.plainServices(),
        empty.cascades(),
        empty.teams(),
        List.of(rollouts));
  }

  static VersionEvidence evidence(VersionRef version, int answers, double badShare) {
    Tally bad = new Tally(answers, answers * badShare);
    Tally fine = new Tally(answers, 0);
    return new VersionEvidence(version, "lookup", fine, fine, bad, bad);
  }
}
