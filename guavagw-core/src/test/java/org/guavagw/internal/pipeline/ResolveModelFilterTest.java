package org.guavagw.internal.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;
import org.guavagw.config.AllowanceConfig;
import org.guavagw.config.BudgetConfig;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.LimitConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PriceConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionState;
import org.guavagw.internal.chat.ChatRequest;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.engine.TokenUsage;
import org.guavagw.internal.explain.DecisionTrace;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ResolveModelFilterTest {
  private static final TeamConfig TEAM =
      new TeamConfig(
          "team",
          List.of(),
          List.of(new AllowanceConfig("small", List.of("v1"))),
          List.of("lookup"),
          List.of(),
          new BudgetConfig(1),
          new LimitConfig(1, 1));

  private Target resolved;

  @ParameterizedTest
  @ValueSource(strings = {"small@", "@v1", "@", "small@v2", "large", "report", "small@v9", "other"})
  void shouldRefuseNamesThatTheTeamMayNotUseAsNotRun(String name) {
    Refusal refusal = resolve(name).getLeft();

    assertThat(refusal.code()).isEqualTo(RefusalCode.MODEL_NOT_ALLOWED);
    assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
  }

  @ParameterizedTest
  @CsvSource({"lookup,Cascade", "small,Model", "small@v1,Version"})
  void shouldResolveNamesThatTheTeamMayUse(String name, String kind) {
    assertThat(resolve(name).isRight()).isTrue();
    assertThat(resolved.getClass().getSimpleName()).isEqualTo(kind);
  }

  private Either<Refusal, CompletedAnswer> resolve(String name) {
    ChatRequest request =
        new ChatRequest(new ObjectMapper().createObjectNode(), name, false, false, 1, "");
    RequestMetadata metadata =
        new RequestMetadata(Optional.empty(), Optional.empty(), Optional.empty(), Long.MAX_VALUE);
    Exchange exchange =
        Exchange.of(
                "r1",
                new Operation.Chat(request, null),
                metadata,
                new DecisionTrace("r1", Instant.EPOCH))
            .withTeam(TEAM);
    return new ResolveModelFilter(() -> new RevisionedConfig(1, config()))
        .apply(exchange, this::accept);
  }

  private Either<Refusal, CompletedAnswer> accept(Exchange exchange) {
    resolved = exchange.requireTarget();
    return Either.right(new CompletedAnswer("engine", TokenUsage.UNKNOWN));
  }

  private static GatewayConfig config() {
    return new GatewayConfig(
        List.of(),
        List.of(model("small", "v1", "v2"), model("large", "v1")),
        List.of(),
        List.of(),
        List.of(
            new CascadeConfig("lookup", List.of("small"), 0.8, 0.5),
            new CascadeConfig("report", List.of("large"), 0.8, 0.5)),
        List.of(TEAM),
        List.of());
  }

  private static ModelConfig model(String id, String... versions) {
    List<VersionConfig> all =
        List.of(versions).stream().map(v -> new VersionConfig(v, VersionState.SERVING)).toList();
    return new ModelConfig(id, all, new PriceConfig(1, 1));
  }
}
