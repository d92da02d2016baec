package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.quarantine.RequestTraits;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;

class EndedServerDetectorTest {
  private static final BackendServer LOST = Samples.server("lost", "dc1", "v1");
  private static final BackendServer OTHER = Samples.server("other", "dc1", "v1");
  private static final BackendServer THIRD = Samples.server("third", "dc1", "v1");
  private static final RequestTraits REQUEST = new RequestTraits("request", List.of());

  private final ManualClock clock = new ManualClock();
  private final Map<BackendServer, Consumer<Boolean>> connects = new HashMap<>();
  private final List<BackendServer> others = new ArrayList<>(List.of(OTHER, THIRD));
  private final List<String> events = new ArrayList<>();
  private final EndedServerDetector detector =
      new EndedServerDetector(connects::put, server -> others, this::onEnded, clock);

  @Test
  void shouldTakeAServerThatAcceptsAConnectionForRunning() {
    loseConnection();

    connects.get(LOST).accept(true);

    assertThat(events).containsExactly("running");
  }

  @Test
  void shouldTakeAServerForEndedIfAnotherOneAcceptsAConnection() {
    loseConnection();
    connects.get(LOST).accept(false);
    assertThat(events).isEmpty();

    connects.get(OTHER).accept(false);
    connects.get(THIRD).accept(true);
    assertThat(events).isEmpty();
    connects.get(LOST).accept(false);

    assertThat(events).containsExactly("ended under [request]", "ended");
  }

  @Test
  void shouldNotTakeAServerForEndedThatAcceptsAConnectionBesideAnother() {
    loseConnection();
    connects.get(LOST).accept(false);

    connects.get(OTHER).accept(true);
    connects.get(LOST).accept(true);

    assertThat(events).containsExactly("running");
  }

  @Test
  void shouldTakeAServerForEndedAtOnceIfAnotherOneIsReachedAfterItFailsOnceMore() {
    loseConnection();
    connects.get(LOST).accept(false);

    connects.get(LOST).accept(false);
    connects.get(OTHER).accept(true);

    assertThat(events).containsExactly("ended under [request]", "ended");
  }

  @Test
  void shouldNotTakeAServerForEndedIfNoServerIsReached() {
    loseConnection();
    connects.get(LOST).accept(false);

    connects.get(OTHER).accept(false);
    connects.get(THIRD).accept(false);

    assertThat(events).containsExactly("running");
  }

  @Test
  void shouldTakeTheOnlyServerForEndedIfItAcceptsNoConnection() {
    others.clear();
    loseConnection();

    connects.get(LOST).accept(false);

    assertThat(events).containsExactly("ended under [request]", "ended");
  }

  @Test
  void shouldCheckAServerOnceForAllThatLostAConnection() {
    loseConnection();
    detector.onConnectionLost(LOST, Optional.empty(), ended -> events.add("second " + ended));
    connects.get(LOST).accept(false);

    connects.get(OTHER).accept(true);
    connects.get(LOST).accept(false);

    assertThat(events).containsExactly("ended under [request]", "ended", "second true");
  }

  private void loseConnection() {
    detector.onConnectionLost(
        LOST, Optional.of(REQUEST), ended -> events.add(ended ? "ended" : "running"));
  }

  private void onEnded(BackendServer server, List<RequestTraits> waiting) {
    events.add("ended under " + waiting.stream().map(RequestTraits::fingerprint).toList());
  }
}
