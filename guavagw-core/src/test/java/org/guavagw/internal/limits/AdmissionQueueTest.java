package org.guavagw.internal.limits;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.guavagw.internal.limits.AdmissionRefusal.Reason;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long FAR_DEADLINE_NANOS = Duration.ofDays(1).toNanos();
  private static final AdmissionSettings SMALL = new AdmissionSettings(20, 0.25, 4, 0.5, 0);

  @Property(tries = 300, seed = "20")
  void shouldRespectItsLimitsAndDecideEveryRequest(@ForAll Random random) {
    int limit = 1 + random.nextInt(8);
    AdmissionQueue queue = new AdmissionQueue(SMALL, () -> limit, Ticker.systemTicker());
    Deque<Admission> running = new ArrayDeque<>();
    List<Admission> offered = new ArrayList<>();
    long now = 0;
    for (int step = 0; step < 300; step++) {
      now += random.nextInt((int) SECOND_NANOS);
      if (random.nextInt(3) > 0) {
        queue.offer(request(random, now), now).forEach(offered::add);
      }
      queue.poll(now);
      running.addAll(takeAdmitted(offered));
      if (random.nextBoolean() && !running.isEmpty()) {
        queue.release(running.poll(), now);
      }
      assertThat(queue.inFlight()).isLessThanOrEqualTo(limit);
      assertThat(queue.queued()).isLessThanOrEqualTo(2 * SMALL.maxQueued());
    }
    queue.poll(now + FAR_DEADLINE_NANOS);
    assertThat(queue.queued()).isZero();
    assertThat(offered).allMatch(Admission::isDecided);
  }

  @Test
  void shouldAdmitALongRequestDuringConstantInteractiveLoad() {
    AdmissionQueue queue = queue(SMALL, 4);
    List<Admission> running = fill(queue, RequestClass.INTERACTIVE, 10);
    Admission longRequest = queue.offer(of("b", RequestClass.LONG, FAR_DEADLINE_NANOS), 0).get();

    queue.release(running.get(0), SECOND_NANOS);

    assertThat(longRequest.isAdmitted()).isTrue();
  }

  @Test
  void shouldServeASmallTeamPromptlyDuringAnotherTeamsFlood() {
    AdmissionQueue queue = queue(SMALL, 1);
    List<Admission> flood = fill(queue, RequestClass.INTERACTIVE, 15);
    Admission small =
        queue.offer(of("small", RequestClass.INTERACTIVE, FAR_DEADLINE_NANOS), 0).get();

    queue.release(flood.get(0), 1);
    queue.release(flood.get(1), 2);

    assertThat(small.isAdmitted()).isTrue();
  }

  @Test
  void shouldDisplaceTheNewestRequestOfTheLargestTeamWhenFull() {
    AdmissionQueue queue = queue(SMALL, 1);
    List<Admission> flood = fill(queue, RequestClass.INTERACTIVE, 21);

    Either<AdmissionRefusal, Admission> small =
        queue.offer(of("small", RequestClass.INTERACTIVE, FAR_DEADLINE_NANOS), 0);
    Either<AdmissionRefusal, Admission> more =
        queue.offer(of("team", RequestClass.INTERACTIVE, FAR_DEADLINE_NANOS), 0);

    assertThat(small.isRight()).isTrue();
    assertThat(flood.get(20).refusal().map(AdmissionRefusal::reason)).contains(Reason.DISPLACED);
    assertThat(more.getLeft().reason()).isEqualTo(Reason.QUEUE_FULL);
  }

  @Test
  void shouldRefuseImmediatelyWithARetryDelayWhenTheDeadlineCannotBeMet() {
    AdmissionQueue queue = queue(SMALL, 1);
    List<Admission> waiting = fill(queue, RequestClass.INTERACTIVE, 12);
    for (int i = 0; i < 4; i++) {
      queue.release(waiting.get(i), (i + 1) * SECOND_NANOS);
    }

    Either<AdmissionRefusal, Admission> late =
        queue.offer(of("team", RequestClass.INTERACTIVE, 6 * SECOND_NANOS), 4 * SECOND_NANOS);

    assertThat(late.getLeft().reason()).isEqualTo(Reason.WOULD_MISS_DEADLINE);
    assertThat(late.getLeft().retryAfter())
        .isBetween(Duration.ofSeconds(4), Duration.ofSeconds(20));
  }

  @Test
  void shouldReleaseOnlyOnce() {
    AdmissionQueue queue = queue(SMALL, 2);
    List<Admission> running = fill(queue, RequestClass.INTERACTIVE, 2);

    queue.release(running.get(0), 1);
    queue.release(running.get(0), 2);

    assertThat(queue.inFlight()).isEqualTo(1);
  }

  @Test
  void shouldRefuseABlockedThreadWhenClosed() {
    AdmissionQueue queue = new AdmissionQueue(SMALL, () -> 0, Ticker.systemTicker());
    long deadline = System.nanoTime() + FAR_DEADLINE_NANOS;
    CompletableFuture<Either<AdmissionRefusal, Admission>> waiting =
        CompletableFuture.supplyAsync(
            () -> queue.admit(of("team", RequestClass.INTERACTIVE, deadline)));
    while (queue.queued() == 0) {
      Thread.onSpinWait();
    }

    queue.close();

    assertThat(waiting.join().getLeft().reason()).isEqualTo(Reason.CLOSED);
  }

  private static AdmissionQueue queue(AdmissionSettings settings, int limit) {
    return new AdmissionQueue(settings, () -> limit, Ticker.systemTicker());
  }

  private static List<Admission> fill(AdmissionQueue queue, RequestClass c, int count) {
    List<Admission> admissions = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      admissions.add(queue.offer(of("team", c, FAR_DEADLINE_NANOS), 0).get());
    }
    return admissions;
  }

  private static AdmissionRequest of(String team, RequestClass c, long deadlineNanos) {
    return new AdmissionRequest(team, 1, c, deadlineNanos, 1);
  }

  private static AdmissionRequest request(Random random, long now) {
    RequestClass c = random.nextBoolean() ? RequestClass.INTERACTIVE : RequestClass.LONG;
    long deadline = now + random.nextInt((int) SECOND_NANOS) * 10L;
    int weight = 1 + random.nextInt(3);
    return new AdmissionRequest("team-" + random.nextInt(4), weight, c, deadline, 1);
  }

  private static List<Admission> takeAdmitted(List<Admission> offered) {
    List<Admission> admitted = offered.stream().filter(Admission::isAdmitted).toList();
    offered.removeAll(admitted);
    return admitted;
  }

  @Property(tries = 50, seed = "20")
  void shouldServeTeamsInProportionToTheirWeights(@ForAll Random random) {
    FairQueue<Admission> queue = new FairQueue<>();
    int[] weights = {1, 2, 4};
    for (int i = 0; i < 700; i++) {
      for (int w : weights) {
        AdmissionRequest request =
            new AdmissionRequest("w" + w, w, RequestClass.INTERACTIVE, FAR_DEADLINE_NANOS, 1);
        queue.add(new Admission(request, 0));
      }
    }
    int rounds = 100 + random.nextInt(500);
    int[] served = new int[5];
    for (int i = 0; i < rounds; i++) {
      Admission next = queue.poll();
      queue.charge(next);
      served[next.weight()]++;
    }
    for (int w : weights) {
      assertThat(served[w]).isBetween(rounds * w / 7 - 2, rounds * w / 7 + 2);
    }
    assertThat(Optional.of(queue.size())).contains(2_100 - rounds);
  }
}
