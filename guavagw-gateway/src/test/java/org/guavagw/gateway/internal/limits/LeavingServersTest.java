package org.guavagw.gateway.internal.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LeavingServersTest {
  private final LeavingServers leaving = new LeavingServers();

  @Test
  void shouldTellOtherEntriesOnlyOfWhatThisEntryLearnedFromTheServerItself() {
    assertThat(leaving.onStatement("own", 0)).isTrue();
    assertThat(leaving.onReport("reported", 0)).isTrue();

    assertThat(leaving.toTell(1)).containsExactly("own");
    assertThat(leaving.contains("reported")).isTrue();
  }

  @Test
  void shouldStopTellingAfterAWhileButStillKnow() {
    leaving.onStatement("own", 0);
    long later = Duration.ofSeconds(30).toNanos();

    assertThat(leaving.onStatement("own", later)).isFalse();
    assertThat(leaving.toTell(later)).isEmpty();
    leaving.expire(later);
    assertThat(leaving.contains("own")).isTrue();
  }

  @Test
  void shouldForgetAnIncarnationLongAfterItsLastAnswer() {
    leaving.onStatement("own", 0);

    leaving.expire(Duration.ofHours(1).toNanos());

    assertThat(leaving.contains("own")).isFalse();
  }
}
