package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;

class ReachabilityProbeTest {
  private static final BackendServer SILENT = Samples.server("silent", "dc1", "v1");
  private static final BackendServer OTHER = Samples.server("other", "dc1", "v1");
  private static final BackendServer THIRD = Samples.server("third", "dc1", "v1");

  private final Map<BackendServer, Consumer<Boolean>> connects = new HashMap<>();
  private final List<Boolean> results = new ArrayList<>();
  private boolean cutOff;
  private final ReachabilityProbe probe =
      new ReachabilityProbe(connects::put, server -> List.of(OTHER, THIRD), service -> cutOff);

  @Test
  void shouldTakeAServerThatAcceptsAConnectionForReachable() {
    check();

    connects.get(SILENT).accept(true);

    assertThat(results).containsExactly(true);
    assertThat(connects).containsOnlyKeys(SILENT);
  }

  @Test
  void shouldNotTakeAServerForUnreachableWhileNoOtherIsReachedEither() {
    check();
    connects.get(SILENT).accept(false);
    assertThat(results).isEmpty();

    connects.get(OTHER).accept(false);
    connects.get(THIRD).accept(false);

    assertThat(results).containsExactly(true);
  }

  @Test
  void shouldTakeAServerForUnreachableThatFailsOnceMoreAfterAnotherOneIsReached() {
    check();
    connects.get(SILENT).accept(false);

    connects.get(OTHER).accept(true);
    assertThat(results).isEmpty();
    connects.get(SILENT).accept(false);

    assertThat(results).containsExactly(false);
  }

  @Test
  void shouldTakeAServerForUnreachableAsSoonAsAnotherOneIsReachedAfterItFailsOnceMore() {
    check();
    connects.get(SILENT).accept(false);

    connects.get(SILENT).accept(false);
    connects.get(THIRD).accept(false);
    assertThat(results).isEmpty();
    connects.get(OTHER).accept(true);

    assertThat(results).containsExactly(false);
  }

  @Test
  void shouldNotTakeAServerForUnreachableThatAcceptsAConnectionBesideAnother() {
    check();
    connects.get(SILENT).accept(false);

    connects.get(OTHER).accept(true);
    connects.get(SILENT).accept(true);

    assertThat(results).containsExactly(true);
  }

  @Test
  void shouldTakeAServerForUnreachableAtOnceIfTheEntryIsCutOff() {
    check();
    cutOff = true;

    connects.get(SILENT).accept(false);

    assertThat(results).containsExactly(false);
  }

  @Test
  void shouldTakeAServerForUnreachableIfTheEntryIsFoundCutOffMeanwhile() {
    check();
    connects.get(SILENT).accept(false);

    connects.get(OTHER).accept(false);
    cutOff = true;
    connects.get(THIRD).accept(false);

    assertThat(results).containsExactly(false);
  }

  private void check() {
    probe.check(SILENT, results::add);
  }
}
