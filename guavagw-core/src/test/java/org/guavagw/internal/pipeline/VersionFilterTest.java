package org.guavagw.internal.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.RunState;
import org.guavagw.config.AllowanceConfig;
import org.guavagw.config.BudgetConfig;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.LimitConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;
import org.guavagw.internal.chat.ChatRequest;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.explain.DecisionTrace;
import org.guavagw.internal.rollout.VersionChooser;
import org.guavagw.internal.session.PinLookupResult;
import org.guavagw.internal.session.SessionPins;
import org.junit.jupiter.api.Test;

class VersionFilterTest {
  private static final String MODEL = "small";
  private static final TeamConfig TEAM =
      new TeamConfig(
          "team",
          List.of(),
          List.of(new AllowanceConfig(MODEL, List.of("v1", "v2"))),
          List.of(),
          List.of(),
          new BudgetConfig(1),
          new LimitConfig(1, 1));

  private PinLookupResult lookup = PinLookupResult.NONE;

  @Test
  void shouldRefuseASessionWithUnknownPinThatWouldMoveToTheNewVersion() {
    lookup = PinLookupResult.UNKNOWN;

    Refusal refusal = select(100).getLeft();

    assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
    assertThat(refusal.retryAfter()).contains(SessionPins.LOOKUP_RETRY_DELAY);
  }

  @Test
  void shouldServeASessionWithUnknownPinOnTheOldVersion() {
    lookup = PinLookupResult.UNKNOWN;

    assertThat(select(0).get().ref()).isEqualTo(new VersionRef(MODEL, "v1"));
  }

  @Test
  void shouldMoveANewSessionToTheNewVersion() {
    assertThat(select(100).get().ref()).isEqualTo(new VersionRef(MODEL, "v2"));
  }

  @Test
  void shouldKeepAPinnedSessionOnItsVersion() {
    lookup = PinLookupResult.of("v1");

    assertThat(select(100).get().ref()).isEqualTo(new VersionRef(MODEL, "v1"));
  }

  private Either<Refusal, SelectedVersion> select(int percentOnNew) {
    ChatRequest request =
        new ChatRequest(new ObjectMapper().createObjectNode(), MODEL, false, false, 1, "");
    RequestMetadata metadata =
        new RequestMetadata(Optional.empty(), Optional.of("s"), Optional.empty(), Long.MAX_VALUE);
    Exchange exchange =
        Exchange.of(
                "r1",
                new Operation.Chat(request, null),
                metadata,
                new DecisionTrace("r1", Instant.EPOCH))
            .withTeam(TEAM);
    RevisionedConfig config = new RevisionedConfig(1, config(percentOnNew));
    return new VersionFilter(() -> config, new VersionChooser(), new FixedPins())
        .selectForModel(exchange, MODEL);
  }

  private static GatewayConfig config(int percentOnNew) {
    List<VersionConfig> versions =
        List.of(
            new VersionConfig("v1", VersionState.SERVING),
            new VersionConfig("v2", VersionState.SERVING));
    return new GatewayConfig(
        List.of(),
        List.of(new ModelConfig(MODEL, versions, new PriceConfig(1, 1))),
        List.of(),
        List.of(),
        List.of(),
        List.of(TEAM),
        List.of(
            new RolloutConfig(
                "r", MODEL, "v1", "v2", List.of(percentOnNew), 0, RolloutState.RUNNING)));
  }

  /** Returns the same result for every lookup and accepts every pin. */
  private final class FixedPins implements SessionPins {
    @Override
    public PinLookupResult find(String team, String sessionId, String model) {
      return lookup;
    }

    @Override
    public VersionRef pin(String team, String sessionId, VersionRef version, boolean replace) {
      return version;
    }
  }
}
