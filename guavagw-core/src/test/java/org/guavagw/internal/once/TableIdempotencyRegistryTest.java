package org.guavagw.internal.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.guavagw.internal.durable.ManualClocks;
import org.guavagw.internal.durable.MapObjectStore;
import org.guavagw.internal.durable.ScriptedTable;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.internal.lease.LeaseHolder;
import org.guavagw.internal.lease.LeaseSettings;
import org.guavagw.internal.lease.TableLeaseService;
import org.guavagw.standins.table.InMemoryTableService;
import org.junit.jupiter.api.Test;

class TableIdempotencyRegistryTest {
  private static final IdempotencyKey KEY = new IdempotencyKey("team", "ledger", "key-1");
  private static final StoredOutcome OUTCOME =
      new StoredOutcome(201, Map.of(), "posted".getBytes(StandardCharsets.UTF_8));

  private static final int KEY_COUNT = 100;

  private final ManualClocks time = new ManualClocks();
  private final MapObjectStore objects = new MapObjectStore();
  private final ScriptedTable table = new ScriptedTable(new InMemoryTableService());
  private final ScriptedTable otherTable = table.peer();
  private final List<String> endedEntries = new ArrayList<>();
  private final RequestIds ids = new RequestIds("a", time.clocks().wall());
  private final IdempotencyRegistry first = registry(table);
  private final IdempotencyRegistry second = registry(otherTable);

  private IdempotencyRegistry registry(ScriptedTable view) {
    return new TableIdempotencyRegistry(
        view,
        objects,
        endedEntries::contains,
        IdempotencySettings.standard(),
        time.clocks().wall());
  }

  @Test
  void shouldLetOnlyOneOfTwoEntriesRunRepeatedRequest() {
    assertThat(claim(first)).isInstanceOf(ClaimResult.Claimed.class);
    assertThat(claim(second)).isInstanceOf(ClaimResult.InProgress.class);
  }

  @Test
  void shouldReplayAnswerAtAnyEntry() {
    ClaimResult.Claimed claimed = (ClaimResult.Claimed) claim(first);
    first.complete(claimed.claim(), OUTCOME);
    ClaimResult.Replay replay = (ClaimResult.Replay) claim(second);
    assertThat(replay.outcome().body()).isEqualTo(OUTCOME.body());
    assertThat(replay.outcome().status()).isEqualTo(201);
  }

  @Test
  void shouldReplayLargeAnswerFromObjectStore() {
    byte[] body = new byte[200_000];
    new Random(1).nextBytes(body);
    ClaimResult.Claimed claimed = (ClaimResult.Claimed) claim(first);
    first.complete(claimed.claim(), new StoredOutcome(200, Map.of(), body));
    ClaimResult.Replay replay = (ClaimResult.Replay) claim(second);
    assertThat(replay.outcome().body()).isEqualTo(body);
  }

  @Test
  void shouldRefuseKeyUsedForAnotherCall() {
    claim(first);
    assertThat(second.claim(KEY, "other", ids.next()).get())
        .isInstanceOf(ClaimResult.KeyReused.class);
  }

  @Test
  void shouldHoldClaimAfterAnswerToItsWriteIsLost() {
    table.loseAnswers(1);
    assertThat(claim(first)).isInstanceOf(ClaimResult.Claimed.class);
    assertThat(claim(second)).isInstanceOf(ClaimResult.InProgress.class);
  }

  @Test
  void shouldClaimNothingWhileStoreIsDown() {
    table.down(true);
    RetryingIdempotencyRegistry retrying = new RetryingIdempotencyRegistry(first, time.clocks());
    assertThat(retrying.claim(KEY, "f", ids.next()).getLeft())
        .isInstanceOf(IdempotencyFailure.StoreUnavailable.class);
    assertThat(retrying.pendingCount()).isZero();
  }

  @Test
  void shouldNeverRunAgainAfterClaimingEntryWasKilled() {
    claim(first);
    endedEntries.add("a");
    for (int i = 0; i < 3; i++) {
      assertThat(claim(second)).isInstanceOf(ClaimResult.OutcomeUnknown.class);
    }
  }

  @Test
  void shouldReportUnknownOutcomeWhenClaimIsTooOld() {
    claim(first);
    time.advance(IdempotencySettings.standard().maxClaimAge().plusSeconds(1));
    assertThat(claim(second)).isInstanceOf(ClaimResult.OutcomeUnknown.class);
  }

  @Test
  void shouldAllowNewClaimAfterCallThatDidNotRun() {
    ClaimResult.Claimed claimed = (ClaimResult.Claimed) claim(first);
    first.abandon(claimed.claim());
    ClaimResult.Claimed again = (ClaimResult.Claimed) claim(second);
    assertThat(first.abandon(claimed.claim()).getLeft())
        .isInstanceOf(IdempotencyFailure.ClaimGone.class);
    assertThat(second.complete(again.claim(), OUTCOME).isRight()).isTrue();
  }

  @Test
  void shouldStoreAnswerAfterStoreRecovers() {
    RetryingIdempotencyRegistry retrying = new RetryingIdempotencyRegistry(first, time.clocks());
    ClaimResult.Claimed claimed = (ClaimResult.Claimed) claim(retrying);
    table.down(true);
    retrying.complete(claimed.claim(), OUTCOME);
    table.down(false);
    retrying.retryPending();
    assertThat(claim(second)).isInstanceOf(ClaimResult.Replay.class);
    assertThat(retrying.pendingCount()).isZero();
  }

  @Test
  void shouldDeleteFailedClaimThatReachedStore() {
    RetryingIdempotencyRegistry retrying = new RetryingIdempotencyRegistry(first, time.clocks());
    String id = ids.next();
    table.loseAnswers(1);
    table.beforeNextCommit(() -> table.afterNextCommit(() -> table.down(true)));
    assertThat(retrying.claim(KEY, "f", id).isLeft()).isTrue();
    table.down(false);
    assertThat(claim(second)).isInstanceOf(ClaimResult.InProgress.class);
    assertThat(retrying.claim(KEY, "f", id).isLeft()).isTrue();
    retrying.retryPending();
    assertThat(claim(second)).isInstanceOf(ClaimResult.Claimed.class);
    time.advance(Duration.ofMinutes(3));
    retrying.retryPending();
    assertThat(retrying.pendingCount()).isZero();
    assertThat(claim(second)).isInstanceOf(ClaimResult.InProgress.class);
  }

  @Property(tries = 15, seed = "31")
  void shouldRunEachKeyOnceOverManyEntriesWithFaults(@ForAll long seed) throws Exception {
    ScriptedTable store = new ScriptedTable(new InMemoryTableService());
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    ExecutorService threads = Executors.newFixedThreadPool(3);
    try {
      List<Future<?>> done = new ArrayList<>();
      for (int e = 0; e < 6; e++) {
        ScriptedTable view = store.peer();
        view.loseAtRandom(0.2, seed + e);
        RetryingIdempotencyRegistry registry =
            new RetryingIdempotencyRegistry(registry(view), time.clocks());
        Random choices = new Random(seed - e);
        done.add(threads.submit(() -> runAll(registry, choices, runs)));
        done.add(threads.submit(() -> runAll(registry, choices, runs)));
      }
      for (Future<?> each : done) {
        each.get();
      }
    } finally {
      threads.shutdownNow();
    }
    assertThat(runs.values()).allMatch(n -> n == 1);
    assertThat(runs.size()).isGreaterThan(KEY_COUNT / 2);
  }

  private void runAll(
      RetryingIdempotencyRegistry registry, Random choices, Map<String, Integer> runs) {
    for (int k = 0; k < KEY_COUNT; k++) {
      IdempotencyKey key = new IdempotencyKey("team", "ledger", "k" + k);
      ClaimResult result =
          registry.claim(key, "f", ids.next()).getOrElse(new ClaimResult.KeyReused());
      if (result instanceof ClaimResult.Claimed claimed) {
        runOrAbandon(registry, claimed.claim(), choices.nextInt(3), runs);
      }
      registry.retryPending();
    }
  }

  private static void runOrAbandon(
      IdempotencyRegistry registry, IdempotencyClaim claim, int choice, Map<String, Integer> runs) {
    if (choice == 0) {
      registry.abandon(claim);
      return;
    }
    runs.merge(claim.key().key(), 1, Integer::sum);
    if (choice == 1) {
      registry.complete(claim, OUTCOME);
    }
  }

  @Test
  void shouldPurgeExpiredClaimsButNotBecauseOneClockJumped() {
    ClaimPurger purger =
        new ClaimPurger(
            otherTable,
            new TableLeaseService(
                otherTable,
                new LeaseHolder("b", 1),
                LeaseSettings.standard(),
                time.clocks().monotonic()),
            Duration.ofHours(24),
            time.clocks().wall());
    claim(first);
    purger.purgePage();
    time.jumpWall(Duration.ofDays(3));
    assertThat(purger.purgePage().get()).isZero();
    first.claim(new IdempotencyKey("team", "ledger", "later"), "f", ids.next());
    purger.purgePage();
    assertThat(purger.purgePage().get()).isEqualTo(1);
  }

  private ClaimResult claim(IdempotencyRegistry registry) {
    return registry.claim(KEY, "f", ids.next()).get();
  }
}
