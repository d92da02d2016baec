package org.guavagw.internal.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.internal.rollout.RolloutConfigs.V1;
import static org.guavagw.internal.rollout.RolloutConfigs.V2;
import static org.guavagw.internal.rollout.RolloutConfigs.config;
import static org.guavagw.internal.rollout.RolloutConfigs.evidence;
import static org.guavagw.internal.rollout.RolloutConfigs.rollout;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionState;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.lease.Lease;
import org.guavagw.internal.lease.LeaseFailure;
import org.guavagw.internal.lease.LeaseService;
import org.junit.jupiter.api.Test;

class RolloutControllerTest {
  private final Store store =
      new Store(
          config(VersionState.SERVING, VersionState.STAGED, rollout(0, RolloutState.RUNNING)));

  @Test
  void shouldWithdrawABadVersionInOneAct() {
    Contender process = new Contender(1);
    process.controller.runOnce();
    process.seeBadVersion();
    process.controller.runOnce();
    assertThat(store.config.versionState(V2)).contains(VersionState.WITHDRAWN);
    assertThat(store.config.rollouts().get(0).state()).isEqualTo(RolloutState.ABORTED);
  }

  @Test
  void shouldDoNothingWhenPausedUntilTheLeaseLapsed() {
    Contender process = new Contender(1);
    process.controller.runOnce();
    process.seeBadVersion();
    process.safe = false;
    assertThat(process.controller.runOnce()).containsExactly(new PassEvent.LostControl());
    assertThat(store.acts).isEmpty();
  }

  @Test
  void shouldBeFencedOffWhenAnotherControllerHasActed() {
    Contender old = new Contender(1);
    Contender next = new Contender(2);
    old.controller.runOnce();
    next.controller.runOnce();
    old.seeBadVersion();
    next.seeBadVersion();
    next.controller.runOnce();
    old.stale = store.initial;
    List<PassEvent> events = old.controller.runOnce();
    assertThat(events).hasSize(1);
    assertThat(events.get(0)).isInstanceOf(PassEvent.ActFailed.class);
    assertThat(store.acts).hasSize(1);
  }

  @Test
  void shouldCompleteAnAbortThatStoppedHalfway() {
    store.config =
        config(VersionState.SERVING, VersionState.WITHDRAWN, rollout(1, RolloutState.RUNNING));
    new Contender(1).controller.runOnce();
    assertThat(store.config.rollouts().get(0).state()).isEqualTo(RolloutState.ABORTED);
  }

  @Test
  void shouldReportARolloutThatDoesNotMove() {
    Contender process = new Contender(1);
    process.controller.runOnce();
    process.nanos = 2 * 3_600_000_000_000L;
    assertThat(process.controller.runOnce().get(0)).isInstanceOf(PassEvent.Stalled.class);
  }

  @Test
  void shouldActOnceWhenTheAnswerOfAWriteWasLost() {
    Contender process = new Contender(1);
    process.controller.runOnce();
    process.seeBadVersion();
    store.losesAnswer = true;
    assertThat(process.controller.runOnce().get(0)).isInstanceOf(PassEvent.ActFailed.class);
    process.controller.runOnce();
    assertThat(store.acts).hasSize(1);
  }

  private static final class Store implements RolloutActs {
    private final RevisionedConfig initial;
    private final List<RolloutAct> acts = new ArrayList<>();
    private GatewayConfig config;
    private long revision = 1;
    private long fence;
    private boolean losesAnswer;

    Store(GatewayConfig config) {
      this.config = config;
      this.initial = new RevisionedConfig(revision, config);
    }

    @Override
    public Either<ActFailure, Long> apply(RolloutAct act, long expected, long fencingNumber) {
      if (fencingNumber < fence) {
        return Either.left(new ActFailure.Fenced(fence));
      }
      if (expected != revision) {
        return Either.left(new ActFailure.RevisionMoved(revision));
      }
      fence = fencingNumber;
      config = ActTransformer.apply(config, act);
      acts.add(act);
      revision++;
      return losesAnswer
          ? Either.left(new ActFailure.OutcomeUnknown("answer lost"))
          : Either.right(revision);
    }
  }

  private final class Contender implements LeaseService, Lease {
    private final long fencingNumber;
    private final RolloutMonitor monitor;
    private final RolloutController controller;
    private RevisionedConfig stale;
    private boolean safe = true;
    private long nanos;

    Contender(long fencingNumber) {
      this.fencingNumber = fencingNumber;
      Ticker ticker =
          new Ticker() {
            @Override
            public long read() {
              return nanos;
            }
          };
      monitor = new RolloutMonitor(ticker, new MixtureRatioTest(), MonitorSettings.standard());
      controller = new RolloutController(this::current, this, monitor, store, ticker);
    }

    void seeBadVersion() {
      monitor.absorb(
          new EvidenceReport("e", 1, List.of(evidence(V1, 1_000, 0.1), evidence(V2, 60, 0.6))));
    }

    private RevisionedConfig current() {
      return stale != null ? stale : new RevisionedConfig(store.revision, store.config);
    }

    @Override
    public Either<LeaseFailure, Lease> acquire(String name) {
      return Either.right(this);
    }

    @Override
    public Optional<Lease> held(String name) {
      return Optional.of(this);
    }

    @Override
    public void release(String name) {}

    @Override
    public void close() {}

    @Override
    public String name() {
      return RolloutController.LEASE_NAME;
    }

    @Override
    public long fencingNumber() {
      return fencingNumber;
    }

    @Override
    public boolean isSafe() {
      return safe;
    }
  }
}
