package org.guavagw.gateway.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.peers.ServerNotices;
import org.guavagw.gateway.internal.peers.ServerWork;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.EngineSpec;
import org.guavagw.gateway.spi.PromptPart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Loads on servers with few slots, engines with little memory, and servers of three speeds. */
class ServerRoomTest {
  private static final String MODEL = "m";
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LoadTracker loads = new LoadTracker();

  private static List<BackendServer> servers(int count) {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(Samples.server("s" + i, "dc", "v1"));
    }
    return servers;
  }

  private static PlacementQuery query(
      List<BackendServer> servers, List<PromptPart> prompt, double nowMillis) {
    int tokens = prompt.stream().mapToInt(PromptPart::tokens).sum();
    long now = (long) (nowMillis * NANOS_PER_MILLI);
    return new PlacementQuery(servers, Set.of(), "dc", MODEL, prompt, tokens, now);
  }

  private static List<PromptPart> prompt(String subject, int own, long request) {
    return List.of(new PromptPart(subject, 4000), new PromptPart("own" + request, own));
  }

  /** Load: plain requests of 40 ms at three servers with 8 slots each, up to 1.4 times them. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldNotWaitAtAFullServerBesideAFreeSlot(long seed) {
    Random random = new Random(seed);
    Placer placer = new RequestPlacer(loads, random::nextDouble, true);
    List<BackendServer> servers = servers(3);
    Map<BackendServer, Integer> running = new HashMap<>();
    PriorityQueue<Running> ends = new PriorityQueue<>();
    double now = 0;
    for (int i = 0; i < 3000; i++) {
      now += -Math.log(1 - random.nextDouble()) * 1.2;
      while (!ends.isEmpty() && ends.peek().endMillis() <= now) {
        Running ended = ends.poll();
        loads.onEnded(ended.server(), ended.estimate(), 40);
        running.merge(ended.server(), -1, Integer::sum);
      }
      boolean free = servers.stream().anyMatch(s -> running.getOrDefault(s, 0) < s.slots());
      var placed = (Placement.Placed) placer.place(query(servers, List.of(), now));
      assertThat(placed.hasRoom()).isEqualTo(free);
      if (free) {
        BackendServer chosen = placed.server();
        assertThat(running.merge(chosen, 1, Integer::sum)).isLessThanOrEqualTo(chosen.slots());
        var estimate = loads.onSent(chosen, "", List.of(), 0, 0);
        ends.add(new Running(now + 20 + 40 * random.nextDouble(), chosen, estimate));
      }
    }
  }

  /** Load: a server that others reported as full a while ago, for short and for long requests. */
  @ParameterizedTest
  @CsvSource({"30, true", "5000, false"})
  void shouldTakeAReportForWhatItIsWorthAfterItsAge(double durationMillis, boolean room) {
    BackendServer server = Samples.server("s", "dc", "v1");
    for (int i = 0; i < 50; i++) {
      loads.onEnded(server, loads.onSent(server, "", List.of(), 0, 0), durationMillis);
    }
    for (int report = 1; report <= 10; report++) {
      int running = report < 10 ? 2 : 8;
      var work = Map.of(server.incarnation(), new ServerWork.Work(running, 0));
      long now = report * 200L * NANOS_PER_MILLI;
      loads
          .peerReports()
          .onReport("other", new WorkReport(new ServerWork(work, ServerNotices.NONE)), now);
      assertThat(loads.at(server, now).slots()).isEqualTo(8);
    }
    assertThat(loads.at(server, 2300 * NANOS_PER_MILLI).hasRoom(0)).isEqualTo(room);
  }

  /** Load: prompts of 30 to 50 % of the memory of an engine. */
  @Test
  void shouldNotPromiseTheMemoryOfAnEngineTwice() {
    EngineSpec engine = new EngineSpec(48, 100_000, List.of());
    LoadTracker engines = new LoadTracker(service -> Optional.of(engine));
    Placer placer = new RequestPlacer(engines, () -> 0.5, true);
    List<BackendServer> servers = servers(4);
    Map<BackendServer, Integer> promised = new HashMap<>();
    Random random = new Random(1);
    boolean room = true;
    for (int i = 0; room; i++) {
      List<PromptPart> prompt = List.of(new PromptPart("p" + i, 30_000 + random.nextInt(20_000)));
      PlacementQuery query = query(servers, prompt, i);
      var placed = (Placement.Placed) placer.place(query);
      room = placed.hasRoom();
      if (room) {
        var unused = engines.onSent(placed.server(), MODEL, prompt, query.promptTokens(), 100_000);
        promised.merge(placed.server(), query.promptTokens(), Integer::sum);
      }
    }
    assertThat(promised).hasSize(4);
    assertThat(promised.values()).allMatch(tokens -> tokens <= 100_000);
  }

  /**
   * Load: 24 entries that decide by the same report, in which one engine is idle. A prompt takes 85
   * ms to read and is due in a second, so that an engine can take 11 of them.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldNotPileUpOnOneServer(long seed) {
    List<BackendServer> servers = servers(20);
    Map<String, ServerWork.Work> work = new HashMap<>();
    servers.stream().skip(1).forEach(s -> work.put(s.incarnation(), new ServerWork.Work(6, 0)));
    Map<BackendServer, Integer> chosen = new HashMap<>();
    for (int entry = 0; entry < 24; entry++) {
      LoadTracker own = new LoadTracker();
      own.peerReports()
          .onReport("other", new WorkReport(new ServerWork(work, ServerNotices.NONE)), 0);
      Placer placer = new RequestPlacer(own, () -> 0.5, true);
      List<PromptPart> prompt = List.of(new PromptPart("own" + seed + "/" + entry, 1500));
      placer
          .place(query(servers, prompt, 200))
          .chosen()
          .ifPresent(s -> chosen.merge(s, 1, Integer::sum));
    }
    assertThat(chosen.values()).allMatch(requests -> requests <= 11);
    assertThat(chosen).hasSizeGreaterThan(5);
  }

  /**
   * Load: engines of three speeds, half busy; one prompt in ten is as long as two seconds at the
   * middle speed allow. 19 in 20 of these are due within two seconds.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldServeLongPromptsInTimeAtThreeSpeeds(long seed) {
    double[] speeds = {0.6, 1, 1.6, 0.6, 1, 1.6};
    double[] freeAt = new double[speeds.length];
    Random random = new Random(seed);
    Placer placer = new RequestPlacer(loads, random::nextDouble, true);
    List<BackendServer> servers = servers(speeds.length);
    PriorityQueue<Running> ends = new PriorityQueue<>();
    double now = 0;
    int large = 0;
    int inTime = 0;
    for (int i = 0; i < 3000; i++) {
      now += -Math.log(1 - random.nextDouble()) * 120;
      while (!ends.isEmpty() && ends.peek().endMillis() <= now) {
        Running ended = ends.poll();
        loads.onPrefillFinished(ended.server(), ended.estimate());
        loads.onFirstEvent(
            ended.server(), ended.estimate(), ended.endMillis() - ended.sentMillis(), 0);
        loads.onEnded(ended.server(), ended.estimate(), 500);
      }
      boolean isLarge = random.nextInt(10) == 0;
      int tokens = isLarge ? 24_000 : 1000 + random.nextInt(3000);
      List<PromptPart> prompt = List.of(new PromptPart("p" + i, tokens));
      BackendServer chosen = placer.place(query(servers, prompt, now)).chosen().orElseThrow();
      int index = servers.indexOf(chosen);
      double prefill = PrefillRateEstimator.work(tokens, 0) / 20 / speeds[index];
      freeAt[index] = Math.max(now, freeAt[index]) + prefill;
      ends.add(
          new Running(freeAt[index], chosen, loads.onSent(chosen, MODEL, prompt, tokens, 0), now));
      if (isLarge && i > 500) {
        large++;
        inTime += freeAt[index] - now <= 2000 ? 1 : 0;
      }
    }
    assertThat(inTime).isGreaterThanOrEqualTo(large * 19 / 20);
  }

  /** Load: a prompt whose first part, 200 ms of prefill, one engine holds. */
  @Test
  void shouldUseAKeptPromptWhenItSavesMoreThanItCosts() {
    List<BackendServer> servers = servers(6);
    BackendServer holder = servers.get(2);
    var first = loads.onSent(holder, MODEL, prompt("s", 100, 1), 4100, 0);
    loads.onPrefillFinished(holder, first);
    loads.onEnded(holder, first, 500);
    Placer placer = new RequestPlacer(loads, () -> 0.5, true);

    PlacementQuery query = query(servers, prompt("s", 100, 2), 0);
    assertThat(placer.place(query).chosen()).contains(holder);
    var shortWait = loads.onSent(holder, MODEL, List.of(new PromptPart("a", 1000)), 1000, 0);
    assertThat(placer.place(query).chosen()).contains(holder);
    loads.onPrefillFinished(holder, shortWait);
    var unused = loads.onSent(holder, MODEL, List.of(new PromptPart("b", 16_000)), 16_000, 0);
    assertThat(placer.place(query).chosen().orElseThrow()).isNotEqualTo(holder);
  }

  @Test
  void shouldNotCountOnAPartThatOthersHaveEvicted() {
    PrefixCacheEstimate cache = new PrefixCacheEstimate(10_000);
    cache.remember(MODEL, prompt("s", 100, 1));
    cache.addUnknown(5000);
    assertThat(cache.cachedTokens(MODEL, prompt("s", 100, 2))).isEqualTo(4000);
    cache.resize(6000);
    assertThat(cache.cachedTokens(MODEL, prompt("s", 100, 2))).isZero();
  }

  /** All entries agree on two servers for a subject, whichever reports they have. */
  @Test
  void shouldAgreeOnFewServersForASubject() {
    List<BackendServer> servers = servers(20);
    Map<BackendServer, Integer> chosen = new HashMap<>();
    for (int entry = 0; entry < 24; entry++) {
      Placer placer = new RequestPlacer(new LoadTracker(), () -> 0.5, true);
      BackendServer server =
          placer.place(query(servers, prompt("s", 2000, entry), entry)).chosen().orElseThrow();
      chosen.merge(server, 1, Integer::sum);
    }
    assertThat(chosen).hasSizeLessThanOrEqualTo(2);
  }

  /** A request that ends at a time. Immutable. */
  private record Running(
      double endMillis, BackendServer server, PrefillEstimate estimate, double sentMillis)
      implements Comparable<Running> {
    Running(double endMillis, BackendServer server, PrefillEstimate estimate) {
      this(endMillis, server, estimate, 0);
    }

    @Override
    public int compareTo(Running other) {
      return Double.compare(endMillis, other.endMillis);
    }
  }
}
