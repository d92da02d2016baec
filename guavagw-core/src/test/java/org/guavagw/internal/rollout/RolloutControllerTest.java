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
  void shouldAbortTheRolloutOfABadVersionInOneAction() {
    ControllerProcess process = new ControllerProcess(1);
    process.controller.runOnce();
    process.reportBadVersion();
    process.controller.runOnce();
    assertThat(store.config.versionState(V2)).contains(VersionState.WITHDRAWN);
    assertThat(store.config.rollouts().get(0).state()).isEqualTo(RolloutState.ABORTED);
  }

  @Test
  void shouldDoNothingWhenTheLeaseExpiredDuringAPause() {
    ControllerProcess process = new ControllerProcess(1);
    process.controller.runOnce();
    process.reportBadVersion();
    process.safe = false;
    assertThat(process.controller.runOnce())
        .containsExactly(new RolloutControllerEvent.LostControl());
    assertThat(store.actions).isEmpty();
  }

  @Test
  void shouldFailToActAfterAnotherControllerHasActed() {
    ControllerProcess old = new ControllerProcess(1);
    ControllerProcess next = new ControllerProcess(2);
    old.controller.runOnce();
    next.controller.runOnce();
    old.reportBadVersion();
    next.reportBadVersion();
    next.controller.runOnce();
    old.staleConfig = store.initial;
    List<RolloutControllerEvent> events = old.controller.runOnce();
    assertThat(events).hasSize(1);
    assertThat(events.get(0)).isInstanceOf(RolloutControllerEvent.ActFailed.class);
    assertThat(store.actions).hasSize(1);
  }

  @Test
  void shouldAbortARolloutWhoseNewVersionIsAlreadyWithdrawn() {
    store.config =
        config(VersionState.SERVING, VersionState.WITHDRAWN, rollout(1, RolloutState.RUNNING));
    new ControllerProcess(1).controller.runOnce();
    assertThat(store.config.rollouts().get(0).state()).isEqualTo(RolloutState.ABORTED);
  }

  @Test
  void shouldReportAStalledRollout() {
    ControllerProcess process = new ControllerProcess(1);
    process.controller.runOnce();
    process.nanos = 2 * 3_600_000_000_000L;
    assertThat(process.controller.runOnce().get(0))
        .isInstanceOf(RolloutControllerEvent.Stalled.class);
  }

  @Test
  void shouldActOnceWhenTheResultOfAWriteIsLost() {
    ControllerProcess process = new ControllerProcess(1);
    process.controller.runOnce();
    process.reportBadVersion();
    store.losesResult = true;
    assertThat(process.controller.runOnce().get(0))
        .isInstanceOf(RolloutControllerEvent.ActFailed.class);
    process.controller.runOnce();
    assertThat(store.actions).hasSize(1);
  }

  private static final class Store implements RolloutActionExecutor {
    private final RevisionedConfig initial;
    private final List<RolloutAction> actions = new ArrayList<>();
    private GatewayConfig config;
    private long revision = 1;
    private long highestFencingNumber;
    private boolean losesResult;

    Store(GatewayConfig config) {
      this.config = config;
      this.initial = new RevisionedConfig(revision, config);
    }

    @Override
    public Either<RolloutActionFailure, Long> apply(
        RolloutAction action, long expected, long fencingNumber) {
      if (fencingNumber < highestFencingNumber) {
        return Either.left(new RolloutActionFailure.Fenced(highestFencingNumber));
      }
      if (expected != revision) {
        return Either.left(new RolloutActionFailure.RevisionMoved(revision));
      }
      highestFencingNumber = fencingNumber;
      config = RolloutActionTransformer.apply(config, action);
      actions.add(action);
      revision++;
      return losesResult
          ? Either.left(new RolloutActionFailure.OutcomeUnknown("result lost"))
          : Either.right(revision);
    }
  }

  private final class ControllerProcess implements LeaseService, Lease {
    private final long fencingNumber;
    private final RolloutMonitor monitor;
    private final RolloutController controller;
    private RevisionedConfig staleConfig;
    private boolean safe = true;
    private long nanos;

    ControllerProcess(long fencingNumber) {
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

    void reportBadVersion() {
      monitor.addReport(
          new EvidenceReport("e", 1, List.of(evidence(V1, 1_000, 0.1), evidence(V2, 60, 0.6))));
    }

    private RevisionedConfig current() {
      return staleConfig != null ? staleConfig : new RevisionedConfig(store.revision, store.config);
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
