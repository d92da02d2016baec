package org.guavagw.internal.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.internal.rollout.RolloutConfigs.V1;
import static org.guavagw.internal.rollout.RolloutConfigs.V2;
import static org.guavagw.internal.rollout.RolloutConfigs.evidence;
import static org.guavagw.internal.rollout.RolloutConfigs.rollout;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.junit.jupiter.api.Test;

class RolloutMonitorTest {
  private final AtomicLong nanos = new AtomicLong();
  private final RolloutMonitor monitor =
      new RolloutMonitor(
          new Ticker() {
            @Override
            public long read() {
              return nanos.get();
            }
          },
          new MixtureRatioTest(),
          MonitorSettings.standard());
  private final RolloutConfig rollout = rollout(0, RolloutState.RUNNING);

  @Test
  void shouldWithdrawABadVersion() {
    monitor.assess(rollout);
    monitor.addReport(report(1, evidence(V1, 1_000, 0.1), evidence(V2, 60, 0.6)));
    assertThat(monitor.assess(rollout)).isInstanceOf(RolloutVerdict.Withdraw.class);
  }

  @Test
  void shouldAdvanceOnlyAfterEnoughGoodEvidence() {
    monitor.assess(rollout);
    monitor.addReport(report(1, evidence(V1, 200, 0.1), evidence(V2, 10, 0.1)));
    assertThat(monitor.assess(rollout)).isInstanceOf(RolloutVerdict.Continue.class);
    monitor.addReport(report(2, evidence(V1, 4_000, 0.1), evidence(V2, 200, 0.1)));
    assertThat(monitor.assess(rollout)).isInstanceOf(RolloutVerdict.Advance.class);
  }

  @Test
  void shouldCountARepeatedReportOnce() {
    monitor.assess(rollout);
    for (int i = 0; i < 50; i++) {
      monitor.addReport(report(1, evidence(V1, 500, 0.1), evidence(V2, 4, 0.75)));
    }
    assertThat(monitor.assess(rollout)).isInstanceOf(RolloutVerdict.Continue.class);
  }

  @Test
  void shouldIgnoreEvidenceFromBeforeTheRollout() {
    monitor.addReport(report(1, evidence(V1, 1_000, 0.1), evidence(V2, 200, 0.6)));
    monitor.assess(rollout);
    monitor.addReport(report(2, evidence(V1, 2_000, 0.1), evidence(V2, 230, 0.53)));
    assertThat(monitor.assess(rollout)).isNotInstanceOf(RolloutVerdict.Withdraw.class);
  }

  @Test
  void shouldDetectAServingVersionThatBecomesWorse() {
    serveHours(3, 0.1);
    assertThat(monitor.assessServing()).isEmpty();
    report = report + 1;
    answers += 100;
    bad += 60;
    monitor.addReport(report(report, evidence(V1, answers, bad / answers)));
    assertThat(monitor.assessServing()).anySatisfy(f -> assertThat(f.version()).isEqualTo(V1));
  }

  private int report;
  private int answers;
  private double bad;

  private void serveHours(int hours, double badShare) {
    for (int minute = 0; minute < hours * 60; minute++) {
      nanos.addAndGet(Duration.ofMinutes(1).toNanos());
      report++;
      answers += 20;
      bad += 20 * badShare;
      monitor.addReport(report(report, evidence(V1, answers, bad / answers)));
      assertThat(monitor.assessServing()).isEmpty();
    }
  }

  private static EvidenceReport report(long sequence, VersionEvidence... rows) {
    return new EvidenceReport("entry-1", sequence, List.of(rows));
  }
}
