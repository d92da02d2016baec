package org.guavagw.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.RequestClass;
import org.junit.jupiter.api.Test;

class SampledPlacementTest {
  private static final long PREFIX = 7;
  private static final DataCentreConfig LOCAL =
      PlacementFixtures.dataCentre("dc-0", DataCentreState.IN);
  private static final List<BackendServerConfig> TWO =
      List.of(
          PlacementFixtures.server("a", "dc-0", false, PlacementFixtures.VERSION),
          PlacementFixtures.server("b", "dc-0", false, PlacementFixtures.VERSION));

  private final ManualTicker ticker = new ManualTicker();
  private final BackendViews views = new BackendViews(ticker);
  private final RandomGenerator random = new SplittableRandom(1);
  private final SampledPlacement policy = new SampledPlacement(views, () -> random);
  private final BackendIndex index = index(TWO);

  @Test
  void shouldRequireAPermitAfterAnUnannouncedRestart() {
    warm("a", "boot-1");
    warm("b", "boot-1");
    views.onAnswerHeaders("a", "boot-2", true, 0);

    assertThat(views.isCold("a")).isTrue();
    assertThat(chosen(Set.of("b")).needsPermit()).isTrue();
    assertThat(chosen(Set.of()).server().id()).isEqualTo("b");
  }

  @Test
  void shouldTreatAServerAsColdWhenUnreachableOrWithoutRecentEvidence() {
    warm("a", "boot-1");
    warm("b", "boot-1");
    views.onDispatched("a");
    views.onFinished("a", AttemptOutcome.of(AttemptOutcome.Kind.UNREACHABLE));
    assertThat(views.isCold("a")).isTrue();
    assertThat(views.isCold("b")).isFalse();

    ticker.advance(Duration.ofMinutes(1));

    assertThat(views.isCold("b")).isTrue();
  }

  @Test
  void shouldIgnoreAnOutdatedLoadReport() {
    views.onLoadReport("a", PlacementFixtures.report("boot-2", true, 0, 100));
    views.onLoadReport("a", PlacementFixtures.report("boot-1", false, 0, 50));

    assertThat(views.isCold("a")).isTrue();
  }

  @Test
  void shouldNotSendAllRequestsToAServerLastReportedIdle() {
    views.onLoadReport("a", PlacementFixtures.report("boot", false, 0, 0));
    views.onLoadReport("b", PlacementFixtures.report("boot", false, 4, 0));

    long toIdle =
        IntStream.range(0, 12)
            .mapToObj(i -> chosen(Set.of()).server().id())
            .peek(views::onDispatched)
            .filter("a"::equals)
            .count();

    assertThat(toIdle).isBetween(6L, 9L);
  }

  @Test
  void shouldPreferThePrefixHolderOnlyWhileItHasCapacity() {
    warm("a", "boot");
    warm("b", "boot");
    views.onCacheEvents("b", new CacheEvents("boot", false, List.of(PREFIX), List.of()));
    assertThat(chosenForPrefix().server().id()).isEqualTo("b");

    views.onLoadReport("b", PlacementFixtures.report("boot", false, 8, ticker.read()));

    assertThat(chosenForPrefix().server().id()).isEqualTo("a");
  }

  @Test
  void shouldForgetThePrefixesOfARestartedEngine() {
    warm("a", "boot-1");
    warm("b", "boot-1");
    views.onCacheEvents("b", new CacheEvents("boot-1", false, List.of(PREFIX), List.of()));
    warm("b", "boot-2");

    assertThat(chosenForPrefix().reason()).isEqualTo(Placement.Reason.LOCAL_LOAD);
  }

  @Test
  void shouldRampUpTrafficToARestoredDataCentre() {
    List<BackendServerConfig> servers =
        List.of(
            PlacementFixtures.server("a", "dc-0", false, PlacementFixtures.VERSION),
            PlacementFixtures.server("b", "dc-1", false, PlacementFixtures.VERSION));
    DataCentreConfig remote = PlacementFixtures.dataCentre("dc-1", DataCentreState.IN);
    DataCentreConfig out = PlacementFixtures.dataCentre("dc-0", DataCentreState.OUT);
    BackendIndex before =
        BackendIndex.of(PlacementFixtures.config(1, List.of(out, remote), servers));
    BackendIndex restored =
        before.next(PlacementFixtures.config(2, List.of(LOCAL, remote), servers), ticker.read());
    warm("a", "boot");
    warm("b", "boot");

    long immediately = countTo("a", restored);
    ticker.advance(Duration.ofSeconds(30));
    warm("a", "boot");
    warm("b", "boot");
    long halfway = countTo("a", restored);
    ticker.advance(Duration.ofSeconds(31));
    warm("a", "boot");
    warm("b", "boot");

    assertThat(immediately).isLessThan(120);
    assertThat(halfway).isBetween(400L, 700L);
    assertThat(countTo("a", restored)).isEqualTo(1_000);
  }

  private long countTo(String id, BackendIndex of) {
    return IntStream.range(0, 1_000)
        .mapToObj(i -> policy.choose(PlacementFixtures.query(of, Set.of())).get().server().id())
        .filter(id::equals)
        .count();
  }

  private static BackendIndex index(List<BackendServerConfig> servers) {
    return BackendIndex.of(PlacementFixtures.config(1, List.of(LOCAL), servers));
  }

  private void warm(String id, String bootId) {
    views.onLoadReport(id, PlacementFixtures.report(bootId, false, 0, ticker.read()));
  }

  private Placement chosen(Set<String> excluded) {
    return policy.choose(PlacementFixtures.query(index, excluded)).get();
  }

  private Placement chosenForPrefix() {
    PlacementQuery query =
        new PlacementQuery(
            index,
            PlacementFixtures.TARGET,
            "dc-0",
            OptionalLong.of(PREFIX),
            RequestClass.INTERACTIVE,
            Set.of());
    return policy.choose(query).get();
  }
}
