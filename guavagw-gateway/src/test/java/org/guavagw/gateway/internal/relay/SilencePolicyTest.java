package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.Repeatability;
import org.guavagw.gateway.model.Route;
import org.junit.jupiter.api.Test;

class SilencePolicyTest {
  private static final Duration LONG = Duration.ofSeconds(5);
  private static final Duration SHORT = Duration.ofMillis(100);
  private final Route stream = Samples.route(Repeatability.STREAM, List.of(), 3);
  private final Route once = Samples.route(Repeatability.AT_MOST_ONCE, List.of(), 1);

  @Test
  void shouldGiveUpAStreamWhoseServerFellSilent() {
    Duration quiet = Duration.ofMillis(600);
    assertThat(SilencePolicy.lost(stream, true, 0, quiet, quiet)).isTrue();
  }

  @Test
  void shouldLeaveSlowWorkAloneWhileItsServerAnswersOthers() {
    assertThat(SilencePolicy.lost(stream, true, 0, LONG, SHORT)).isFalse();
    assertThat(SilencePolicy.lost(stream, false, 0, LONG, SHORT)).isFalse();
  }

  @Test
  void shouldWaitForLongPromptsToBeRead() {
    Duration quiet = Duration.ofSeconds(2);
    assertThat(SilencePolicy.lost(stream, false, 100, quiet, LONG)).isTrue();
    assertThat(SilencePolicy.lost(stream, false, 50_000, quiet, LONG)).isFalse();
  }

  @Test
  void shouldNeverGiveUpWhatMayRunOnlyOnce() {
    assertThat(SilencePolicy.lost(once, false, 0, LONG, LONG)).isFalse();
  }
}
