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
  void shouldRefuseASessionThatMayHaveBegunOnTheOldVersionWhileNobodyCanSay() {
    lookup = PinLookupResult.UNKNOWN;

    Refusal refusal = pick(100).getLeft();

    assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
    assertThat(refusal.retryAfter()).contains(SessionPins.LOOKUP_RETRY_DELAY);
  }

  @Test
  void shouldServeASessionOnTheOldVersionThoughNobodyCanSayWhenItBegan() {
    lookup = PinLookupResult.UNKNOWN;

    assertThat(pick(0).get().ref()).isEqualTo(new VersionRef(MODEL, "v1"));
  }

  @Test
  void shouldMoveANewSessionToTheNewVersion() {
    assertThat(pick(100).get().ref()).isEqualTo(new VersionRef(MODEL, "v2"));
  }

  @Test
  void shouldKeepASessionThatIsKnown() {
    lookup = PinLookupResult.of("v1");

    assertThat(pick(100).get().ref()).isEqualTo(new VersionRef(MODEL, "v1"));
  }

  private Either<Refusal, VersionPick> pick(int percentOnNew) {
    ChatRequest request =
        new ChatRequest(new ObjectMapper().createObjectNode(), MODEL, false, false, 1, "");
    CallerTerms terms =
        new CallerTerms(Optional.empty(), Optional.of("s"), Optional.empty(), Long.MAX_VALUE);
    Exchange exchange =
        Exchange.arrived(
                "r1", new Work.Chat(request, null), terms, new DecisionTrace("r1", Instant.EPOCH))
            .withTeam(TEAM);
    RevisionedConfig config = new RevisionedConfig(1, config(percentOnNew));
    return new VersionFilter(() -> config, new VersionChooser(), new FixedPins())
        .pickForModel(exchange, MODEL);
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

  /** Answers every lookup alike and keeps what it is given. */
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
