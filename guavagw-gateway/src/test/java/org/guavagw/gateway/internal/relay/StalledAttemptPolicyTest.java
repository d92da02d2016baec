package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.gateway.internal.relay.StalledAttemptPolicy.Verdict.CHECK_REACHABILITY;
import static org.guavagw.gateway.internal.relay.StalledAttemptPolicy.Verdict.LATE;
import static org.guavagw.gateway.internal.relay.StalledAttemptPolicy.Verdict.STUCK;
import static org.guavagw.gateway.internal.relay.StalledAttemptPolicy.Verdict.WAIT;

import java.time.Duration;
import java.util.List;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.relay.StalledAttemptPolicy.Observation;
import org.guavagw.gateway.internal.relay.StalledAttemptPolicy.Verdict;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.api.Test;

class StalledAttemptPolicyTest {
  private static final Duration LONG = Duration.ofSeconds(5);
  private static final Duration HALF = Duration.ofMillis(500);
  private static final Duration SHORT = Duration.ofMillis(100);
  private final Route stream = Samples.route(RouteKind.STREAM, List.of(), 3);
  private final Route once = Samples.route(RouteKind.AT_MOST_ONCE, List.of(), 1);

  @Test
  void shouldCheckTheReachabilityOfASilentServer() {
    Observation observation = observation(true, HALF, HALF, false);
    assertThat(StalledAttemptPolicy.evaluate(stream, 0, observation)).isEqualTo(CHECK_REACHABILITY);
  }

  @Test
  void shouldKeepASlowStreamWhileItsServerAnswersOthers() {
    Observation observation = observation(true, LONG, SHORT, true);
    assertThat(StalledAttemptPolicy.evaluate(stream, 0, observation)).isEqualTo(WAIT);
  }

  @Test
  void shouldCountARequestAsStuckSoonerIfOthersOvertookIt() {
    Duration silence = Duration.ofMillis(800);
    assertThat(StalledAttemptPolicy.evaluate(stream, 0, observation(false, silence, SHORT, true)))
        .isEqualTo(STUCK);
    assertThat(StalledAttemptPolicy.evaluate(stream, 0, observation(false, silence, SHORT, false)))
        .isEqualTo(WAIT);
  }

  @Test
  void shouldAllowTimeForThePrefillOfLongPrompts() {
    Duration silence = Duration.ofSeconds(2);
    assertThat(
            StalledAttemptPolicy.evaluate(stream, 50_000, observation(false, silence, SHORT, true)))
        .isEqualTo(WAIT);
  }

  @Test
  void shouldNeverCancelAnAttemptThatMayRunOnlyOnce() {
    assertThat(StalledAttemptPolicy.evaluate(once, 0, observation(false, LONG, LONG, true)))
        .isEqualTo(WAIT);
  }

  @Test
  void shouldCountARequestAsLateThatWaitsLongerThanItsQueueExplains() {
    Duration silence = Duration.ofMillis(800);
    Duration estimate = Duration.ofMillis(30);
    Observation observation =
        new Observation(false, silence, SHORT, false, estimate, silence, LONG);
    assertThat(StalledAttemptPolicy.evaluate(stream, 0, observation)).isEqualTo(LATE);
  }

  @Test
  void shouldWaitIfTheQueueExplainsTheTime() {
    Duration silence = Duration.ofMillis(800);
    Duration estimate = Duration.ofMillis(400);
    Observation observation =
        new Observation(false, silence, SHORT, false, estimate, silence, LONG);
    assertThat(StalledAttemptPolicy.evaluate(stream, 0, observation)).isEqualTo(WAIT);
  }

  @Test
  void shouldGiveUpABufferedAnswerWithoutEndWhileAnotherServerHasAsMuchTime() {
    Route buffered = Samples.route(RouteKind.IDEMPOTENT, List.of(), 2);
    Duration half = Duration.ofSeconds(2);
    assertThat(evaluate(buffered, half.minusMillis(1), half)).isEqualTo(WAIT);
    assertThat(evaluate(buffered, half.plusMillis(1), half)).isEqualTo(STUCK);
    assertThat(evaluate(stream, half.plusMillis(1), half)).isEqualTo(WAIT);
  }

  private static Verdict evaluate(Route route, Duration sinceSent, Duration remaining) {
    Observation observation =
        new Observation(true, SHORT, SHORT, false, LONG, sinceSent, remaining);
    return StalledAttemptPolicy.evaluate(route, 0, observation);
  }

  /** Returns an observation of an attempt with a long estimate. */
  private static Observation observation(
      boolean answerStarted, Duration silence, Duration serverSilence, boolean overtaken) {
    return new Observation(answerStarted, silence, serverSilence, overtaken, LONG, silence, LONG);
  }
}
