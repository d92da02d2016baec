package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.control.Orders;
import org.guavagw.gateway.internal.control.Orders.ObservedRollout;
import org.guavagw.gateway.internal.limits.BrittleServers;
import org.guavagw.gateway.internal.limits.ColdStartLimiter;
import org.guavagw.gateway.internal.limits.LeavingServers;
import org.guavagw.gateway.internal.limits.ServerAvailability;
import org.guavagw.gateway.internal.limits.ServerPauses;
import org.guavagw.gateway.internal.limits.ServerRateLimits;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.placement.AffinityPlacer;
import org.guavagw.gateway.internal.placement.LoadTracker;
import org.guavagw.gateway.internal.rollout.RolloutProgress;
import org.guavagw.gateway.internal.rollout.VersionSelector;
import org.guavagw.gateway.internal.routing.RouteTable;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutState;
import org.guavagw.gateway.model.RolloutStatus;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.api.Test;

class BackendSelectorTest {
  private static final long COLD_UNTIL = Duration.ofSeconds(10).toNanos();
  private final ColdStartLimiter coldStartLimiter = new ColdStartLimiter(s -> 1);
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(PrintStream.nullOutputStream()));
  private final ServerAvailability availability =
      new ServerAvailability(
          new LeavingServers(),
          new ServerPauses(() -> 0),
          new ServerRateLimits((s, perSecond) -> perSecond, () -> 0),
          new BrittleServers(s -> 0, s -> true, () -> 0),
          () -> {},
          log);
  private final BackendSelector selector =
      new BackendSelector(
          new VersionSelector(Duration.ofSeconds(5), 0.1, new FinishedRolloutProgress()),
          coldStartLimiter,
          availability,
          new AffinityPlacer(new LoadTracker()),
          "here");

  @Test
  void shouldExcludeServersInAnEvacuatedDataCentre() {
    BackendServer evacuatedServer = Samples.server("taken", "out", "v1");
    BackendServer availableServer = Samples.server("left", "here", "v1");
    ControlView view =
        view(List.of(evacuatedServer, availableServer), Map.of(), Map.of(), Set.of("out"));
    assertThat(select(view, "s")).contains(availableServer);
    assertThat(select(view(List.of(evacuatedServer), Map.of(), Map.of(), Set.of("out")), "s"))
        .isEmpty();
  }

  @Test
  void shouldPreferTheLocalDataCentre() {
    BackendServer remote = Samples.server("far", "there", "v1");
    BackendServer local = Samples.server("near", "here", "v1");
    assertThat(select(view(List.of(remote, local), Map.of(), Map.of(), Set.of()), "s"))
        .contains(local);
  }

  @Test
  void shouldUseTheOldVersionIfTheNewOneIsAtItsColdStartLimit() {
    BackendServer oldServer = Samples.server("old", "here", "v1");
    BackendServer newServer = Samples.server("fresh", "here", "v2", COLD_UNTIL);
    ControlView view =
        view(
            List.of(oldServer, newServer),
            Map.of(
                "engine",
                new ObservedRollout(
                    new RolloutOrder("engine", "v2", Duration.ofSeconds(20), 1), 0)),
            Map.of("engine", new RolloutStatus("engine", "v2", RolloutState.RUNNING, 0, 2, true)),
            Set.of());
    assertThat(select(view, "s")).contains(newServer);
    coldStartLimiter.onSent(newServer, 0);
    assertThat(select(view, "s")).contains(oldServer);
  }

  @Test
  void shouldExcludeAnIncarnationThatSaidThatItIsLeavingWhateverItsRegistrationSays() {
    BackendServer leaving = Samples.server("w1", "here", "v1");
    availability.onAnswer(leaving, Samples.leavingAnswer(), 0);

    assertThat(select(view(List.of(leaving), Map.of(), Map.of(), Set.of()), "s")).isEmpty();
    BackendServer restarted = Samples.restarted(leaving);
    assertThat(select(view(List.of(restarted), Map.of(), Map.of(), Set.of()), "s"))
        .contains(restarted);
  }

  @Test
  void shouldTellWhenTheFirstPausedServerIsBackIfAllAreInAPause() {
    BackendServer first = Samples.server("w1", "here", "v1");
    BackendServer second = Samples.server("w2", "here", "v1");
    ControlView view = view(List.of(first, second), Map.of(), Map.of(), Set.of());
    availability.onAnswer(first, Samples.pauseAnswer(Duration.ofSeconds(3)), 0);
    assertThat(selector.untilFirstAccepts(view, "engine", 0)).isEmpty();
    assertThat(select(view, "s")).contains(second);

    availability.onAnswer(second, Samples.pauseAnswer(Duration.ofSeconds(2)), 0);
    assertThat(select(view, "s")).isEmpty();
    assertThat(selector.untilFirstAccepts(view, "engine", 0)).contains(Duration.ofSeconds(2));
  }

  private Optional<BackendServer> select(ControlView view, String session) {
    AdmittedRequest request =
        new AdmittedRequest(
            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"),
            Samples.request("r"),
            Samples.route(RouteKind.STREAM, List.of(), 2),
            Optional.empty(),
            Unpooled.EMPTY_BUFFER,
            false,
            OptionalInt.empty(),
            0,
            1);
    return selector.place(view, "engine", session, request, "", Set.of(), 1).chosen();
  }

  private static ControlView view(
      List<BackendServer> servers,
      Map<String, ObservedRollout> rollouts,
      Map<String, RolloutStatus> statuses,
      Set<String> evacuated) {
    return new ControlView(
        Optional.empty(),
        new RouteTable(List.of()),
        Map.of("engine", servers),
        new Orders(rollouts, statuses, evacuated),
        true);
  }

  /** Progress of a rollout whose sessions have all moved. */
  private static final class FinishedRolloutProgress implements RolloutProgress {
    @Override
    public Duration elapsed(ObservedRollout rollout, Optional<RolloutStatus> status) {
      return rollout.order().within();
    }

    @Override
    public Optional<RolloutStatus> statusOf(RolloutOrder order, Optional<RolloutStatus> status) {
      return status.filter(s -> s.belongsTo(order, order.within().toMillis() + 1));
    }

    @Override
    public boolean isRejected(RolloutOrder order) {
      return false;
    }
  }
}
