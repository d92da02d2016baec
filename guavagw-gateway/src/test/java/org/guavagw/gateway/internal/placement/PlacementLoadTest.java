package org.guavagw.gateway.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates long prompts with shared parts on four engines that process one prompt at a time, and
 * compares {@link AffinityPlacer} with placement by the fewest in-flight requests.
 */
class PlacementLoadTest {
  private static final String MODEL = "large";
  private static final double TOKENS_PER_MILLI = 20;
  private static final double MEAN_GAP_MILLIS = 60;
  private static final double OBJECTIVE_MILLIS = 1500;
  private static final int REQUESTS = 3000;
  private static final int SUBJECTS = 60;
  private static final long CACHE_TOKENS = 200_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void shouldAnswerMoreRequestsInTimeThanLeastInFlightPlacement(long seed) {
    LoadTracker loads = new LoadTracker();
    Result affinity = simulate(seed, loads, new AffinityPlacer(loads));
    LoadTracker naiveLoads = new LoadTracker();
    Result naive = simulate(seed, naiveLoads, leastInFlight(naiveLoads));
    assertThat(affinity.inTime()).isGreaterThan(naive.inTime());
    assertThat(affinity.prefilledTokens()).isLessThan(naive.prefilledTokens());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldAvoidAFailingServer(long seed) {
    LoadTracker loads = new LoadTracker();
    BackendServer failing = Samples.server("s0", "dc", "v1");
    for (int i = 0; i < 8; i++) {
      loads.onOutcome(failing, false, 0);
    }
    Set<String> chosen = new HashSet<>();
    Random random = new Random(seed);
    for (int i = 0; i < 50; i++) {
      chosen.add(new AffinityPlacer(loads).place(query(random, 0)).chosen().orElseThrow().id());
    }
    assertThat(chosen).doesNotContain("s0").hasSizeGreaterThan(1);
  }

  private static Placer leastInFlight(LoadTracker loads) {
    return query ->
        query.candidates().stream()
            .min(Comparator.comparingInt((BackendServer s) -> loads.totalInFlight(s)))
            .<Placement>map(s -> new Placement.Placed(s, 0, 0, true))
            .orElse(Placement.none());
  }

  private static Result simulate(long seed, LoadTracker loads, Placer placer) {
    Random random = new Random(seed);
    Engine[] engines = {new Engine(), new Engine(), new Engine(), new Engine()};
    PriorityQueue<Prefill> prefills =
        new PriorityQueue<>(Comparator.comparingDouble(Prefill::endMillis));
    double now = 0;
    int inTime = 0;
    long prefilledTokens = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += -Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS;
      while (!prefills.isEmpty() && prefills.peek().endMillis() <= now) {
        Prefill done = prefills.poll();
        loads.onPrefillFinished(done.server(), done.estimate());
        loads.onEnded(done.server());
      }
      PlacementQuery query = query(random, (long) (now * NANOS_PER_MILLI));
      BackendServer server = placer.place(query).chosen().orElseThrow();
      PrefillEstimate estimate =
          loads.onSent(server, MODEL, query.prompt(), query.promptTokens(), CACHE_TOKENS);
      Engine engine = engines[Integer.parseInt(server.id().substring(1))];
      int tokens = engine.prefill(query.prompt());
      engine.freeMillis = Math.max(now, engine.freeMillis) + tokens / TOKENS_PER_MILLI;
      prefills.add(new Prefill(engine.freeMillis, server, estimate));
      prefilledTokens += tokens;
      inTime += engine.freeMillis - now <= OBJECTIVE_MILLIS ? 1 : 0;
    }
    return new Result(inTime, prefilledTokens);
  }

  private static PlacementQuery query(Random random, long nowNanos) {
    int subject = random.nextInt(SUBJECTS);
    List<PromptPart> prompt =
        List.of(
            new PromptPart("common" + subject % 3, 500),
            new PromptPart("subject" + subject, 4900),
            new PromptPart("own" + random.nextLong(), 500 + random.nextInt(2000)));
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      servers.add(Samples.server("s" + i, "dc", "v1"));
    }
    int tokens = prompt.stream().mapToInt(PromptPart::tokens).sum();
    return new PlacementQuery(servers, Set.of(), "dc", MODEL, prompt, tokens, nowNanos);
  }

  /** Requests answered within the objective and tokens processed. */
  private record Result(int inTime, long prefilledTokens) {}

  /** A prefill that an engine processes. */
  private record Prefill(double endMillis, BackendServer server, PrefillEstimate estimate) {}

  /** An engine that processes one prompt at a time and caches as many parts as fit. */
  private static final class Engine {
    private final PrefixCacheEstimate cache = new PrefixCacheEstimate(CACHE_TOKENS);
    private double freeMillis;

    int prefill(List<PromptPart> prompt) {
      int cached = cache.cachedTokens(MODEL, prompt);
      cache.remember(MODEL, prompt);
      return prompt.stream().mapToInt(PromptPart::tokens).sum() - cached;
    }
  }
}
