package org.guavagw.cli.local;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.guavagw.config.AllowanceConfig;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.BudgetConfig;
import org.guavagw.config.CallRule;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.LimitConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PlainServiceConfig;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;

/** Creates the configuration of a local deployment. Stateless. */
public final class DeploymentConfig {
  /** Id of the cheap model. */
  public static final String SMALL = "small";

  /** Id of the strong model. */
  public static final String LARGE = "large";

  private static final int TEAMS = 10;
  private static final int LARGE_TEAMS = 3;
  private static final int MAX_CONCURRENT = 200;
  private static final long BUDGET_MICROS_PER_DAY = 1_000_000_000_000L;
  private static final double QUALITY_TARGET = 0.8;
  private static final long MICROS_PER_POST = 100;

  private DeploymentConfig() {}

  /** Creates the configuration of a plan with backend servers that are already listening. */
  public static GatewayConfig of(DeploymentPlan plan, List<BackendServerConfig> servers) {
    List<DataCentreConfig> dataCentres =
        plan.dataCentres().stream()
            .map(d -> new DataCentreConfig(d.id(), plan.region(), DataCentreState.IN))
            .toList();
    List<String> ledgers =
        servers.stream().filter(s -> s.serves().isEmpty()).map(BackendServerConfig::id).toList();
    List<CallRule> calls =
        List.of(new CallRule("GET", "/", true), new CallRule("POST", plan.post(), false));
    List<RolloutConfig> rollouts =
        List.of(
            new RolloutConfig(
                "small-v2", SMALL, "v1", "v2", List.of(5, 50, 100), 0, RolloutState.RUNNING));
    return new GatewayConfig(
        dataCentres,
        List.of(small(), large()),
        servers,
        List.of(new PlainServiceConfig(plan.ledger(), ledgers, calls, MICROS_PER_POST)),
        List.of(
            new CascadeConfig(plan.lookupClass(), List.of(SMALL, LARGE), QUALITY_TARGET, 0.5),
            new CascadeConfig(plan.reportClass(), List.of(SMALL, LARGE), QUALITY_TARGET, 0.1)),
        IntStream.range(0, TEAMS).mapToObj(i -> team(plan, i)).toList(),
        rollouts);
  }

  /** Returns the versions that every model engine serves. */
  public static List<VersionRef> versions() {
    return List.of(
        new VersionRef(SMALL, "v1"), new VersionRef(SMALL, "v2"), new VersionRef(LARGE, "v1"));
  }

  /** Returns the API key of a team. */
  public static String keyOf(String team) {
    return "key-of-" + team;
  }

  /** Returns the id of a team. */
  public static String teamName(int index) {
    return "team-" + index;
  }

  /** Returns the number of teams. */
  public static int teamCount() {
    return TEAMS;
  }

  private static ModelConfig small() {
    return new ModelConfig(
        SMALL,
        List.of(
            new VersionConfig("v1", VersionState.SERVING),
            new VersionConfig("v2", VersionState.STAGED)),
        new PriceConfig(50, 200));
  }

  private static ModelConfig large() {
    return new ModelConfig(
        LARGE, List.of(new VersionConfig("v1", VersionState.SERVING)), new PriceConfig(500, 2_000));
  }

  private static TeamConfig team(DeploymentPlan plan, int index) {
    String id = teamName(index);
    boolean isLarge = index < LARGE_TEAMS;
    List<AllowanceConfig> allowances =
        isLarge
            ? List.of(new AllowanceConfig(SMALL, List.of()), new AllowanceConfig(LARGE, List.of()))
            : List.of(
                new AllowanceConfig(SMALL, List.of("v1")), new AllowanceConfig(LARGE, List.of()));
    String hash = Hashing.sha256().hashString(keyOf(id), StandardCharsets.UTF_8).toString();
    return new TeamConfig(
        id,
        List.of(hash),
        allowances,
        List.of(plan.lookupClass(), plan.reportClass()),
        List.of(plan.ledger()),
        new BudgetConfig(BUDGET_MICROS_PER_DAY),
        new LimitConfig(MAX_CONCURRENT, isLarge ? 5 : 1));
  }
}
