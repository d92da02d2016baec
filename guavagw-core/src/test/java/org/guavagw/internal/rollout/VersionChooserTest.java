package org.guavagw.internal.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.internal.rollout.RolloutConfigs.V1;
import static org.guavagw.internal.rollout.RolloutConfigs.V2;
import static org.guavagw.internal.rollout.RolloutConfigs.config;
import static org.guavagw.internal.rollout.RolloutConfigs.rollout;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionState;
import org.junit.jupiter.api.Test;

class VersionChooserTest {
  private final VersionChooser chooser = new VersionChooser();

  @Property(tries = 300)
  void shouldKeepSessionsOnTheNewVersionWhenThePercentageRises(
      @ForAll String key, @ForAll @IntRange(max = 99) int percent) {
    boolean before = VersionChooser.isOnNewVersion("r1", key, percent);
    assertThat(!before || VersionChooser.isOnNewVersion("r1", key, percent + 1)).isTrue();
  }

  @Test
  void shouldSendTheConfiguredPercentageToTheNewVersion() {
    long onNew = 0;
    for (int i = 0; i < 20_000; i++) {
      onNew += VersionChooser.isOnNewVersion("r1", "session-" + i, 25) ? 1 : 0;
    }
    assertThat(onNew).isBetween(4_700L, 5_300L);
  }

  @Test
  void shouldKeepThePinnedVersionWhenARolloutWouldMoveTheSession() {
    GatewayConfig all =
        config(VersionState.SERVING, VersionState.STAGED, rollout(3, RolloutState.RUNNING));
    VersionChoice choice = chooser.choose(all, "m", "s", Optional.of("v1")).get();
    assertThat(choice.version()).isEqualTo(V1);
    assertThat(choice.reason()).isEqualTo(ChoiceReason.PINNED);
  }

  @Test
  void shouldMoveASessionWhoseVersionIsWithdrawnAndReportTheReason() {
    GatewayConfig aborted =
        config(VersionState.SERVING, VersionState.WITHDRAWN, rollout(1, RolloutState.ABORTED));
    VersionChoice choice = chooser.choose(aborted, "m", "s", Optional.of("v2")).get();
    assertThat(choice.version()).isEqualTo(V1);
    assertThat(choice.reason()).isEqualTo(ChoiceReason.MOVED_BECAUSE_WITHDRAWN);
  }

  @Test
  void shouldNotChooseTheWithdrawnNewVersionOfARunningRollout() {
    GatewayConfig halfway =
        config(VersionState.SERVING, VersionState.WITHDRAWN, rollout(3, RolloutState.RUNNING));
    VersionChoice choice = chooser.choose(halfway, "m", "s", Optional.empty()).get();
    assertThat(choice.version()).isEqualTo(V1);
  }

  @Test
  void shouldRefuseWhenNoVersionCanReplaceAWithdrawnOne() {
    GatewayConfig none = config(VersionState.WITHDRAWN, VersionState.WITHDRAWN);
    assertThat(chooser.choose(none, "m", "s", Optional.of("v2")).getLeft())
        .isEqualTo(new NoVersion.WithdrawnWithoutSuccessor(V2));
  }

  @Test
  void shouldNeverChooseAVersionThatTheTeamMayNotUse() {
    GatewayConfig both = config(VersionState.SERVING, VersionState.SERVING);
    VersionChoice choice =
        chooser.choose(both, "m", "s", Optional.of("v2"), v -> !v.equals(V2)).get();
    assertThat(choice.version()).isEqualTo(V1);
  }
}
