package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;

class ReachabilityProbeTest {
  private static final BackendServer SILENT = Samples.server("silent", "dc1", "v1");
  private static final BackendServer OTHER = Samples.server("other", "dc1", "v1");
  private static final BackendServer THIRD = Samples.server("third", "dc1", "v1");

  private final Map<BackendServer, Consumer<Boolean>> connects = new HashMap<>();
  private final List<Boolean> results = new ArrayList<>();
  private boolean connectedSince;
  private boolean cutOff;
  private final ReachabilityProbe probe =
      new ReachabilityProbe(
          connects::put, new ScriptedWitnesses(), service -> cutOff, new ManualClock());

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
  void shouldTakeAServerForUnreachableIfAnotherOneAcceptsAConnection() {
    check();
    connects.get(SILENT).accept(false);

    connects.get(OTHER).accept(true);
    connects.get(THIRD).accept(false);

    assertThat(results).containsExactly(false);
  }

  @Test
  void shouldTakeAServerForUnreachableIfAnotherOneWasReachedMeanwhile() {
    check();
    connectedSince = true;

    connects.get(SILENT).accept(false);

    assertThat(results).containsExactly(false);
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

  /** Witnesses as a test sets them. */
  private final class ScriptedWitnesses implements EndedServerDetector.Witnesses {
    @Override
    public List<BackendServer> othersThan(BackendServer server) {
      return List.of(OTHER, THIRD);
    }

    @Override
    public boolean connectedSince(long nanos) {
      return connectedSince;
    }
  }
}
