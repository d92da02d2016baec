package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.gateway.internal.relay.SilencePolicy.Verdict.CHECK_PATH;
import static org.guavagw.gateway.internal.relay.SilencePolicy.Verdict.LATE;
import static org.guavagw.gateway.internal.relay.SilencePolicy.Verdict.STUCK;
import static org.guavagw.gateway.internal.relay.SilencePolicy.Verdict.WAIT;

import java.time.Duration;
import java.util.List;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.relay.SilencePolicy.Signs;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.api.Test;

class SilencePolicyTest {
  private static final Duration LONG = Duration.ofSeconds(5);
  private static final Duration HALF = Duration.ofMillis(500);
  private static final Duration SHORT = Duration.ofMillis(100);
  private final Route stream = Samples.route(RouteKind.STREAM, List.of(), 3);
  private final Route once = Samples.route(RouteKind.AT_MOST_ONCE, List.of(), 1);

  @Test
  void shouldCheckThePathToAServerThatFellSilent() {
    Signs signs = signs(true, HALF, HALF, false);
    assertThat(SilencePolicy.judge(stream, 0, signs)).isEqualTo(CHECK_PATH);
  }

  @Test
  void shouldLeaveASlowStreamAloneWhileItsServerAnswersOthers() {
    Signs signs = signs(true, LONG, SHORT, true);
    assertThat(SilencePolicy.judge(stream, 0, signs)).isEqualTo(WAIT);
  }

  @Test
  void shouldCallARequestStuckThatOthersOvertook() {
    Duration quiet = Duration.ofMillis(800);
    assertThat(SilencePolicy.judge(stream, 0, signs(false, quiet, SHORT, true))).isEqualTo(STUCK);
    assertThat(SilencePolicy.judge(stream, 0, signs(false, quiet, SHORT, false))).isEqualTo(WAIT);
  }

  @Test
  void shouldWaitForLongPromptsToBeRead() {
    Duration quiet = Duration.ofSeconds(2);
    assertThat(SilencePolicy.judge(stream, 50_000, signs(false, quiet, SHORT, true)))
        .isEqualTo(WAIT);
  }

  @Test
  void shouldNeverGiveUpWhatMayRunOnlyOnce() {
    assertThat(SilencePolicy.judge(once, 0, signs(false, LONG, LONG, true))).isEqualTo(WAIT);
  }

  @Test
  void shouldCallARequestLateThatWaitsForLongerThanItsQueueExplains() {
    Duration quiet = Duration.ofMillis(800);
    Duration expected = Duration.ofMillis(30);
    Signs signs = new Signs(false, quiet, SHORT, false, expected);
    assertThat(SilencePolicy.judge(stream, 0, signs)).isEqualTo(LATE);
  }

  @Test
  void shouldWaitWhereTheQueueExplainsTheTime() {
    Duration quiet = Duration.ofMillis(800);
    Duration expected = Duration.ofMillis(400);
    Signs signs = new Signs(false, quiet, SHORT, false, expected);
    assertThat(SilencePolicy.judge(stream, 0, signs)).isEqualTo(WAIT);
  }

  /** Signs of an attempt that was expected to take long. */
  private static Signs signs(
      boolean begun, Duration quiet, Duration serverQuiet, boolean overtaken) {
    return new Signs(begun, quiet, serverQuiet, overtaken, LONG);
  }
}
