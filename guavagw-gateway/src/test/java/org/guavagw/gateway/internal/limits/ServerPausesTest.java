package org.guavagw.gateway.internal.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ServerPausesTest {
  private static final String SERVER = "w1@1";
  private static final Duration PAUSE = Duration.ofSeconds(2);
  private static final long MILLI = 1_000_000;

  private final ServerPauses pauses = new ServerPauses(() -> 0);

  @Test
  void shouldAllowNothingDuringThePause() {
    pauses.pause(SERVER, PAUSE, 0);

    assertThat(pauses.allows(SERVER, 1)).isFalse();
    assertThat(pauses.allows(SERVER, PAUSE.toNanos() - 1)).isFalse();
    assertThat(pauses.allows("other", 1)).isTrue();
    assertThat(pauses.untilEnd(SERVER, 500 * MILLI)).isEqualTo(Duration.ofMillis(1500));
  }

  @Test
  void shouldAllowOneRequestAtATimeAfterThePauseUntilOneIsExecuted() {
    pauses.pause(SERVER, PAUSE, 0);
    long after = PAUSE.toNanos();
    assertThat(pauses.allows(SERVER, after)).isTrue();

    pauses.onSent(SERVER, after);
    assertThat(pauses.allows(SERVER, after + MILLI)).isFalse();

    pauses.onExecuted(SERVER, after + 2 * MILLI);
    assertThat(pauses.allows(SERVER, after + 2 * MILLI)).isTrue();
    pauses.onSent(SERVER, after + 2 * MILLI);
    assertThat(pauses.allows(SERVER, after + 3 * MILLI)).isTrue();
  }

  @Test
  void shouldTryAgainIfTheRequestAfterThePauseIsNeverAnswered() {
    pauses.pause(SERVER, PAUSE, 0);
    pauses.onSent(SERVER, PAUSE.toNanos());

    assertThat(pauses.allows(SERVER, PAUSE.plusSeconds(1).toNanos())).isTrue();
  }

  @Test
  void shouldNotEndThePauseForAnAnswerToAnEarlierRequest() {
    pauses.pause(SERVER, PAUSE, 0);
    pauses.onExecuted(SERVER, 1);

    assertThat(pauses.allows(SERVER, 2)).isFalse();
  }

  @Test
  void shouldKeepTheLongerOfTwoPauses() {
    pauses.pause(SERVER, PAUSE, 0);
    pauses.pause(SERVER, Duration.ofMillis(100), MILLI);

    assertThat(pauses.allows(SERVER, Duration.ofSeconds(1).toNanos())).isFalse();
  }

  @Test
  void shouldLimitAHugePause() {
    pauses.pause(SERVER, Duration.ofDays(1), 0);

    assertThat(pauses.allows(SERVER, ServerPauses.MAX_PAUSE.toNanos())).isTrue();
  }

  @Property(tries = 200)
  void shouldSendAtMostTwoRequestsWithinAPauseAndSpreadTheRestOverManyEntries(
      @ForAll long seed, @ForAll @IntRange(min = 100, max = 5000) int pauseMillis) {
    Random random = new Random(seed);
    List<Long> firstSent = new ArrayList<>();
    for (int entry = 0; entry < 50; entry++) {
      ServerPauses policy = new ServerPauses(random::nextDouble);
      long turnedAway = random.nextInt(10) * MILLI;
      policy.pause(SERVER, Duration.ofMillis(pauseMillis), turnedAway);
      long end = turnedAway + pauseMillis * MILLI;
      for (long now = turnedAway; now < end + 600 * MILLI; now += 5 * MILLI) {
        if (policy.allows(SERVER, now)) {
          assertThat(now).isGreaterThanOrEqualTo(end);
          firstSent.add(now);
          break;
        }
      }
    }
    long spread =
        firstSent.stream().mapToLong(t -> t).max().orElseThrow()
            - firstSent.stream().mapToLong(t -> t).min().orElseThrow();
    assertThat(firstSent).hasSize(50);
    assertThat(spread).isGreaterThan(Math.min(pauseMillis / 10, 250) * MILLI);
  }
}
