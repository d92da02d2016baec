package org.guavagw.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.lease.Lease;
import org.junit.jupiter.api.Test;

class VersionLoadPlannerTest {
  private static final VersionRef BUSY = PlacementFixtures.VERSION;
  private static final VersionRef IDLE = new VersionRef("desk", "2");
  private static final Duration LOAD_GAP = Duration.ofSeconds(30);
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long OBSERVED_NANOS = Duration.ofMinutes(1).toNanos();

  private final VersionLoadPlanner planner = new VersionLoadPlanner(LOAD_GAP);

  @Test
  void shouldLoadAScarceVersionOnTheServerWithTheLeastDemand() {
    List<LoadedVersions> servers = List.of(loadedVersions("a", BUSY), loadedVersions("b", IDLE));
    planner.onDemand(Map.of(BUSY, 20, IDLE, 1), 0);

    assertThat(planner.plan(lease(true), servers, OBSERVED_NANOS))
        .containsExactly(new VersionLoadCommand(VersionLoadCommand.Kind.LOAD, "b", BUSY, 7));
  }

  @Test
  void shouldPlanNoCommandWithoutASafeLease() {
    List<LoadedVersions> servers = List.of(loadedVersions("a", BUSY), loadedVersions("b", IDLE));
    planner.onDemand(Map.of(BUSY, 20), 0);

    assertThat(planner.plan(Optional.empty(), servers, OBSERVED_NANOS)).isEmpty();
    assertThat(planner.plan(lease(false), servers, OBSERVED_NANOS)).isEmpty();
  }

  @Test
  void shouldNotExceedTheDownloadRateOfTheWeightStore() {
    List<LoadedVersions> servers = new ArrayList<>(List.of(loadedVersions("a", BUSY)));
    for (int i = 0; i < 10; i++) {
      servers.add(loadedVersions("b" + i, IDLE));
    }
    planner.onDemand(Map.of(BUSY, 500), 0);
    int loads = 0;
    for (int second = 1; second <= 60; second++) {
      loads += planner.plan(lease(true), servers, OBSERVED_NANOS + second * SECOND_NANOS).size();
    }

    assertThat(loads).isEqualTo(2);
  }

  @Test
  void shouldNotFlapWhenDemandSwingsBetweenVersions() {
    List<LoadedVersions> servers =
        List.of(
            loadedVersions("a", BUSY, IDLE),
            loadedVersions("b", BUSY, IDLE),
            loadedVersions("c", BUSY));
    int commands = 0;
    for (int second = 1; second <= 1_200; second++) {
      boolean first = second / 10 % 2 == 0;
      planner.onDemand(Map.of(BUSY, first ? 14 : 2, IDLE, first ? 2 : 14), second * SECOND_NANOS);
      commands += planner.plan(lease(true), servers, second * SECOND_NANOS).size();
    }

    assertThat(commands).isZero();
  }

  @Test
  void shouldNeverUnloadTheLastReplicaOrARecentlyLoadedVersion() {
    planner.onDemand(Map.of(BUSY, 0, IDLE, 0), 0);
    List<LoadedVersions> lastReplicas = List.of(loadedVersions("a", BUSY, IDLE));
    assertThat(planner.plan(lease(true), lastReplicas, OBSERVED_NANOS)).isEmpty();

    planner.onDemand(Map.of(BUSY, 20), 2 * SECOND_NANOS);
    List<LoadedVersions> before =
        List.of(loadedVersions("a", BUSY), loadedVersions("b", IDLE), loadedVersions("c", IDLE));
    long later = 120 * SECOND_NANOS;
    assertThat(planner.plan(lease(true), before, later)).hasSize(1);
    planner.onDemand(Map.of(BUSY, 0, IDLE, 0), later);
    List<LoadedVersions> after =
        List.of(loadedVersions("a", BUSY), loadedVersions("b", BUSY, IDLE));

    assertThat(planner.plan(lease(true), after, later + 300 * SECOND_NANOS)).isEmpty();
  }

  private static LoadedVersions loadedVersions(String id, VersionRef... loaded) {
    return new LoadedVersions(
        PlacementFixtures.server(id, "dc-0", false, BUSY, IDLE), List.of(loaded));
  }

  private static Optional<Lease> lease(boolean safe) {
    return Optional.of(
        new Lease() {
          @Override
          public String name() {
            return "loads";
          }

          @Override
          public long fencingNumber() {
            return 7;
          }

          @Override
          public boolean isSafe() {
            return safe;
          }
        });
  }
}
