package org.guavagw.gateway.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.guavagw.Refusal;
import org.guavagw.RunState;

/** Checks random histories of arrivals, ends, callers that leave, deadlines, and stops. */
class AdmissionHistoryTest {
  private static final long STEP_NANOS = Duration.ofMillis(20).toNanos();
  private static final QueueSettings SMALL = new QueueSettings(6, 3_000, 0);
  private static final int MAX_SLOTS = 4;

  private final List<Call> calls = new ArrayList<>();
  private final Counts counts = new Counts();
  private final QueueingScheduler scheduler =
      new QueueingScheduler(SMALL, counts, nanos -> {}, () -> 0.5);
  private long now = STEP_NANOS;
  private int slots = MAX_SLOTS;
  private boolean noServer;

  @Property(tries = 500)
  void shouldEndEachRequestOnceAndKeepTheOrder(
      @ForAll @Size(max = 200) List<@IntRange(max = 999) Integer> choices) {
    for (int choice : choices) {
      act(choice % 10, choice / 10);
      endOverdue();
      assertThat(scheduler.waiting()).isEqualTo((int) count(State.WAITING)).isLessThanOrEqualTo(6);
    }

    calls.forEach(Call::end);

    assertThat(calls).allMatch(c -> c.state == State.ENDED && c.ends == 1);
    assertThat(scheduler.waiting()).isZero();
    assertThat(counts.running).isZero();
    assertThat(counts.offered)
        .isEqualTo(calls.size())
        .isEqualTo(counts.started + counts.refused + counts.left);
  }

  private void act(int action, int detail) {
    now += STEP_NANOS;
    switch (action) {
      case 0, 1, 2, 3, 4 -> {
        Call call = new Call(detail % 2, "team" + detail % 3, 1 + detail % 7);
        calls.add(call);
        scheduler.submit(call, now);
      }
      case 5, 6 ->
          calls.stream().filter(c -> c.state == State.RUNNING).findFirst().ifPresent(Call::end);
      case 7 -> endAny(detail);
      case 8 -> scheduler.poll(now);
      default -> {
        slots = detail % (MAX_SLOTS + 1);
        noServer = detail % 11 == 0;
        scheduler.poll(now);
      }
    }
  }

  /** Ends a request that waits or runs: its caller leaves, or the entry stops. */
  private void endAny(int detail) {
    List<Call> open = calls.stream().filter(c -> c.state != State.ENDED).toList();
    if (!open.isEmpty()) {
      open.get(detail % open.size()).end();
    }
  }

  private void endOverdue() {
    calls.stream().filter(c -> c.traits.deadlineNanos() <= now).forEach(Call::end);
  }

  private long count(State state) {
    return calls.stream().filter(c -> c.state == state).count();
  }

  /** What a caller sees of its request. */
  private enum State {
    NEW,
    WAITING,
    RUNNING,
    ENDED
  }

  /** A request that checks what is done with it. */
  private final class Call implements WaitingRequest {
    private final RequestTraits traits;
    private State state = State.NEW;
    private int ends;

    Call(int rank, String team, int objectiveSteps) {
      traits =
          new RequestTraits(
              "service",
              team,
              "route",
              rank,
              1,
              700,
              now,
              now + objectiveSteps * STEP_NANOS,
              now + 3L * objectiveSteps * STEP_NANOS);
    }

    void end() {
      if (state != State.ENDED) {
        state = State.ENDED;
        ends++;
        scheduler.onEnded(this, now);
      }
    }

    @Override
    public String id() {
      return "id";
    }

    @Override
    public RequestTraits traits() {
      return traits;
    }

    @Override
    public boolean tryStart(long nowNanos) {
      assertThat(state).isIn(State.NEW, State.WAITING);
      if (noServer) {
        end();
        return true;
      }
      if (count(State.RUNNING) >= slots) {
        state = State.WAITING;
        return false;
      }
      assertThat(calls).noneMatch(this::mustWaitFor);
      state = State.RUNNING;
      return true;
    }

    /** All requests need the same room, so that any that waits could start. */
    private boolean mustWaitFor(Call other) {
      if (other.equals(this) || other.state != State.WAITING) {
        return false;
      }
      boolean sameRank = other.traits.rank() == traits.rank();
      boolean sameTeam = other.traits.team().equals(traits.team());
      return other.traits.rank() < traits.rank()
          || (sameRank && state == State.NEW)
          || (sameRank && sameTeam && other.traits.objectiveNanos() < traits.objectiveNanos());
    }

    @Override
    public void refuse(Refusal refusal) {
      assertThat(state).isIn(State.NEW, State.WAITING);
      assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
      assertThat(refusal.retryAfter()).isPresent();
      end();
    }
  }

  /** Counts what the scheduler tells. */
  private static final class Counts implements AdmissionListener {
    private int offered;
    private int started;
    private int running;
    private int refused;
    private int left;

    @Override
    public void onOffered(RequestTraits traits) {
      offered++;
    }

    @Override
    public void onQueued(WaitingRequest request, QueueState state) {}

    @Override
    public void onStarted(RequestTraits traits, Duration wait) {
      started++;
      running++;
    }

    @Override
    public void onEnded(RequestTraits traits) {
      running--;
    }

    @Override
    public void onLeft(RequestTraits traits) {
      left++;
    }

    @Override
    public void onRefused(
        WaitingRequest request, RefusalReason reason, QueueState state, Duration retryAfter) {
      refused++;
    }
  }
}
