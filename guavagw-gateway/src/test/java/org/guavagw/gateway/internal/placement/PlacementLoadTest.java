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
 * Plays long prompts that share parts against four engines that read one prompt after another, and
 * checks what callers get from {@link AffinityPlacer} and from a naive choice.
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
  void shouldAnswerMoreInTimeThanTheLeastBusyChoice(long seed) {
    LoadBook book = new LoadBook();
    Result affine = play(seed, book, new AffinityPlacer(book));
    LoadBook naiveBook = new LoadBook();
    Result naive = play(seed, naiveBook, leastRunning(naiveBook));
    assertThat(affine.inTime()).isGreaterThan(naive.inTime());
    assertThat(affine.tokensRead()).isLessThan(naive.tokensRead());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldLeaveAServerThatFails(long seed) {
    LoadBook book = new LoadBook();
    BackendServer failing = Samples.server("s0", "dc", "v1");
    for (int i = 0; i < 8; i++) {
      book.onOutcome(failing, false, 0);
    }
    Set<String> chosen = new HashSet<>();
    Random random = new Random(seed);
    for (int i = 0; i < 50; i++) {
      chosen.add(new AffinityPlacer(book).choose(query(random, 0)).orElseThrow().id());
    }
    assertThat(chosen).doesNotContain("s0").hasSizeGreaterThan(1);
  }

  private static Placer leastRunning(LoadBook book) {
    return query ->
        query.candidates().stream()
            .min(Comparator.comparingInt((BackendServer s) -> book.totalRunning(s)));
  }

  private static Result play(long seed, LoadBook book, Placer placer) {
    Random random = new Random(seed);
    Engine[] engines = {new Engine(), new Engine(), new Engine(), new Engine()};
    PriorityQueue<Reading> readings =
        new PriorityQueue<>(Comparator.comparingDouble(Reading::endMillis));
    double now = 0;
    int inTime = 0;
    long tokensRead = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += -Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS;
      while (!readings.isEmpty() && readings.peek().endMillis() <= now) {
        Reading done = readings.poll();
        book.onPromptDone(done.server(), done.work());
        book.onEnded(done.server());
      }
      PlacementQuery query = query(random, (long) (now * NANOS_PER_MILLI));
      BackendServer server = placer.choose(query).orElseThrow();
      PromptWork work =
          book.onSent(server, MODEL, query.prompt(), query.promptTokens(), CACHE_TOKENS);
      Engine engine = engines[Integer.parseInt(server.id().substring(1))];
      int tokens = engine.read(query.prompt());
      engine.freeMillis = Math.max(now, engine.freeMillis) + tokens / TOKENS_PER_MILLI;
      readings.add(new Reading(engine.freeMillis, server, work));
      tokensRead += tokens;
      inTime += engine.freeMillis - now <= OBJECTIVE_MILLIS ? 1 : 0;
    }
    return new Result(inTime, tokensRead);
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

  /** What callers got. */
  private record Result(int inTime, long tokensRead) {}

  /** A prompt that an engine reads. */
  private record Reading(double endMillis, BackendServer server, PromptWork work) {}

  /** An engine that reads one prompt after another and keeps what fits. */
  private static final class Engine {
    private final PrefixMemory memory = new PrefixMemory(CACHE_TOKENS);
    private double freeMillis;

    int read(List<PromptPart> prompt) {
      int held = memory.heldTokens(MODEL, prompt);
      memory.remember(MODEL, prompt);
      return prompt.stream().mapToInt(PromptPart::tokens).sum() - held;
    }
  }
}
