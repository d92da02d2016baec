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

class LoadOrderPlannerTest {
  private static final VersionRef BUSY = PlacementFixtures.VERSION;
  private static final VersionRef IDLE = new VersionRef("desk", "2");
  private static final Duration LOAD_GAP = Duration.ofSeconds(30);
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long OBSERVED_NANOS = Duration.ofMinutes(1).toNanos();

  private final LoadOrderPlanner planner = new LoadOrderPlanner(LOAD_GAP);

  @Test
  void shouldLoadScarceVersionWhereOthersAreLeastInDemand() {
    List<Loadout> servers = List.of(loadout("a", BUSY), loadout("b", IDLE));
    planner.onDemand(Map.of(BUSY, 20, IDLE, 1), 0);

    assertThat(planner.plan(lease(true), servers, OBSERVED_NANOS))
        .containsExactly(new LoadOrder(LoadOrder.Kind.LOAD, "b", BUSY, 7));
  }

  @Test
  void shouldGiveNoOrderWithoutSafeLease() {
    List<Loadout> servers = List.of(loadout("a", BUSY), loadout("b", IDLE));
    planner.onDemand(Map.of(BUSY, 20), 0);

    assertThat(planner.plan(Optional.empty(), servers, OBSERVED_NANOS)).isEmpty();
    assertThat(planner.plan(lease(false), servers, OBSERVED_NANOS)).isEmpty();
  }

  @Test
  void shouldKeepToTheWeightStoresRate() {
    List<Loadout> servers = new ArrayList<>(List.of(loadout("a", BUSY)));
    for (int i = 0; i < 10; i++) {
      servers.add(loadout("b" + i, IDLE));
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
    List<Loadout> servers =
        List.of(loadout("a", BUSY, IDLE), loadout("b", BUSY, IDLE), loadout("c", BUSY));
    int orders = 0;
    for (int second = 1; second <= 1_200; second++) {
      boolean first = second / 10 % 2 == 0;
      planner.onDemand(Map.of(BUSY, first ? 14 : 2, IDLE, first ? 2 : 14), second * SECOND_NANOS);
      orders += planner.plan(lease(true), servers, second * SECOND_NANOS).size();
    }

    assertThat(orders).isZero();
  }

  @Test
  void shouldNeverUnloadTheLastCopyOrWhatWasJustLoaded() {
    planner.onDemand(Map.of(BUSY, 0, IDLE, 0), 0);
    List<Loadout> lastCopies = List.of(loadout("a", BUSY, IDLE));
    assertThat(planner.plan(lease(true), lastCopies, OBSERVED_NANOS)).isEmpty();

    planner.onDemand(Map.of(BUSY, 20), 2 * SECOND_NANOS);
    List<Loadout> before = List.of(loadout("a", BUSY), loadout("b", IDLE), loadout("c", IDLE));
    long later = 120 * SECOND_NANOS;
    assertThat(planner.plan(lease(true), before, later)).hasSize(1);
    planner.onDemand(Map.of(BUSY, 0, IDLE, 0), later);
    List<Loadout> after = List.of(loadout("a", BUSY), loadout("b", BUSY, IDLE));

    assertThat(planner.plan(lease(true), after, later + 300 * SECOND_NANOS)).isEmpty();
  }

  private static Loadout loadout(String id, VersionRef... loaded) {
    return new Loadout(PlacementFixtures.server(id, "dc-0", false, BUSY, IDLE), List.of(loaded));
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
