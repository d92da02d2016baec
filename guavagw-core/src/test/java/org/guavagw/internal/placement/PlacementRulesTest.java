package org.guavagw.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.CircuitBreaker;

class PlacementRulesTest {
  private static final int FAILURES = 5;
  private static final VersionRef OTHER = new VersionRef("desk", "2");

  @Property(tries = 2_000, seed = "20")
  void shouldChooseAnAllowedServerWheneverThereIsOne(@ForAll Random random) {
    List<DataCentreConfig> dataCentres = dataCentres(random);
    List<BackendServerConfig> servers = servers(random, dataCentres.size());
    RevisionedConfig config = PlacementFixtures.config(1, dataCentres, servers);
    BackendIndex index = BackendIndex.of(config);
    BackendViews views = new BackendViews(new ManualTicker());
    views.onIndex(index);
    servers.stream().filter(s -> random.nextInt(4) == 0).forEach(s -> fail(views, s));
    Set<String> excluded = randomSubset(servers, random);

    Either<NoBackend, Placement> choice =
        new SampledPlacement(views, () -> new SplittableRandom(random.nextLong()))
            .choose(PlacementFixtures.query(index, excluded));

    Set<String> allowed = allowedServers(config, views, excluded);
    assertThat(choice.isRight()).isEqualTo(!allowed.isEmpty());
    choice.forEach(p -> assertThat(allowed).contains(p.server().id()));
  }

  private static Set<String> allowedServers(
      RevisionedConfig config, BackendViews views, Set<String> excluded) {
    Set<String> allowed = new HashSet<>();
    for (BackendServerConfig server : config.config().backendServers()) {
      DataCentreConfig dc = config.config().dataCentre(server.dataCentre()).orElseThrow();
      boolean serves = server.serves().contains(PlacementFixtures.VERSION);
      boolean in = dc.state() == DataCentreState.IN;
      boolean closed = views.circuit(server.id()) != CircuitBreaker.State.OPEN;
      boolean reachable = views.isDataCentreReachable(server.dataCentre());
      boolean stays = !server.leaving();
      if (serves && in && stays && closed && reachable && !excluded.contains(server.id())) {
        allowed.add(server.id());
      }
    }
    return allowed;
  }

  private static List<DataCentreConfig> dataCentres(Random random) {
    List<DataCentreConfig> dataCentres = new ArrayList<>();
    for (int i = 0; i <= random.nextInt(4); i++) {
      DataCentreState state = random.nextInt(3) == 0 ? DataCentreState.OUT : DataCentreState.IN;
      dataCentres.add(PlacementFixtures.dataCentre("dc-" + i, state));
    }
    return dataCentres;
  }

  private static List<BackendServerConfig> servers(Random random, int dataCentres) {
    List<BackendServerConfig> servers = new ArrayList<>();
    int count = random.nextInt(20);
    for (int i = 0; i < count; i++) {
      VersionRef serves = random.nextInt(3) == 0 ? OTHER : PlacementFixtures.VERSION;
      String dc = "dc-" + random.nextInt(dataCentres);
      servers.add(PlacementFixtures.server("s" + i, dc, random.nextInt(4) == 0, serves));
    }
    return servers;
  }

  private static void fail(BackendViews views, BackendServerConfig server) {
    for (int i = 0; i < FAILURES; i++) {
      views.onDispatched(server.id());
      views.onFinished(server.id(), AttemptOutcome.of(AttemptOutcome.Kind.UNREACHABLE));
    }
  }

  private static Set<String> randomSubset(List<BackendServerConfig> servers, Random random) {
    return servers.stream()
        .map(BackendServerConfig::id)
        .filter(s -> random.nextInt(3) == 0)
        .collect(Collectors.toSet());
  }
}
