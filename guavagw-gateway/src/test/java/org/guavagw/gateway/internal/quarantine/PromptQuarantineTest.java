package org.guavagw.gateway.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.peers.PromptNotices;
import org.guavagw.gateway.spi.PromptPart;
import org.junit.jupiter.api.Test;

class PromptQuarantineTest {
  private static final Duration TOLD_HOLD = Duration.ofSeconds(3);

  private final ManualClock clock = new ManualClock();
  private final List<String> released = new ArrayList<>();
  private final PromptQuarantine quarantine = newQuarantine(0);
  private int prompts;

  @Test
  void shouldHoldAPartUnderWhichThreeServersEnded() {
    endServers("s1", "s2");
    assertThat(holds("bad")).isFalse();

    endServers("s3");

    assertThat(holds("bad")).isTrue();
    assertThat(quarantine.holds(prompt("other"), clock.read())).isFalse();
  }

  @Test
  void shouldNotHoldAPartThatWasAnsweredOfLate() {
    quarantine.onAnswered(prompt("bad"), clock.read());
    endServers("s1", "s2", "s3");
    assertThat(holds("bad")).isFalse();

    clock.advance(AnsweredParts.MEMORY);
    endServers("s4");

    assertThat(holds("bad")).isTrue();
  }

  @Test
  void shouldNeverHoldTheLastPartOfAPrompt() {
    for (String server : List.of("s1", "s2", "s3", "s4")) {
      quarantine.onServerEnded(server, List.of(new PromptPart("alone", 10)), clock.read());
    }

    assertThat(quarantine.holds(List.of(new PromptPart("alone", 10)), clock.read())).isFalse();
  }

  @Test
  void shouldLetOneRequestThroughAsATestAndHoldAgainUntilItIsAnswered() {
    endServers("s1", "s2", "s3");
    clock.advance(PromptQuarantine.FIRST_HOLD);
    assertThat(holds("bad")).isFalse();

    assertThat(quarantine.onSent(prompt("bad"), clock.read())).isTrue();
    assertThat(holds("bad")).isTrue();
    quarantine.onAnswered(prompt("bad"), clock.read());

    assertThat(holds("bad")).isFalse();
    assertThat(released).containsExactly("bad");
  }

  @Test
  void shouldTestLaterAfterATestThatEndedAServer() {
    endServers("s1", "s2", "s3");
    clock.advance(PromptQuarantine.FIRST_HOLD);
    assertThat(quarantine.onSent(prompt("bad"), clock.read())).isTrue();

    endServers("s4");
    clock.advance(PromptQuarantine.FIRST_HOLD.plusSeconds(1));
    assertThat(holds("bad")).isTrue();
    clock.advance(PromptQuarantine.FIRST_HOLD);

    assertThat(holds("bad")).isFalse();
  }

  @Test
  void shouldNotTestAtTheSameTimeOnTwoEntries() {
    PromptQuarantine second = newQuarantine(1);
    endServers("s1", "s2", "s3");
    second.onNotices(quarantine.toTell(clock.read()), clock.read());

    clock.advance(PromptQuarantine.FIRST_HOLD);

    assertThat(holds("bad")).isFalse();
    assertThat(second.holds(prompt("bad"), clock.read())).isTrue();
  }

  @Test
  void shouldHoldWhatAnEntryWithEvidenceHoldsForAsLongAsItSaysSo() {
    PromptQuarantine restarted = newQuarantine(1);
    endServers("s1", "s2", "s3");
    clock.advance(Duration.ofSeconds(10));
    assertThat(quarantine.toTell(clock.read()).suspects()).isEmpty();

    restarted.onNotices(quarantine.toTell(clock.read()), clock.read());
    assertThat(restarted.holds(prompt("bad"), clock.read())).isTrue();
    assertThat(restarted.toTell(clock.read()).heldParts()).isEmpty();
    clock.advance(TOLD_HOLD);

    assertThat(restarted.holds(prompt("bad"), clock.read())).isFalse();
  }

  @Test
  void shouldReleaseAPartWithWhichAnotherEntryHasAnAnswer() {
    endServers("s1", "s2", "s3");

    quarantine.onNotices(new PromptNotices(Set.of(), Set.of("bad"), Set.of()), clock.read());

    assertThat(holds("bad")).isFalse();
  }

  @Test
  void shouldTellOthersThatAPartTheySuspectWasAnsweredHere() {
    PromptQuarantine other = newQuarantine(1);
    other.onAnswered(prompt("bad"), clock.read());
    endServers("s1", "s2", "s3");

    other.onNotices(quarantine.toTell(clock.read()), clock.read());
    quarantine.onNotices(other.toTell(clock.read()), clock.read());

    assertThat(holds("bad")).isFalse();
  }

  private PromptQuarantine newQuarantine(int rank) {
    return new PromptQuarantine(
        () -> rank,
        new QuarantineListener() {
          @Override
          public void onHeld(String part, Duration untilTest) {
            // not needed
          }

          @Override
          public void onReleased(String part) {
            released.add(part);
          }
        });
  }

  private void endServers(String... servers) {
    for (String server : servers) {
      quarantine.onServerEnded(server, prompt("bad"), clock.read());
    }
  }

  private boolean holds(String part) {
    return quarantine.holds(prompt(part), clock.read());
  }

  private List<PromptPart> prompt(String part) {
    return List.of(new PromptPart(part, 100), new PromptPart("own" + ++prompts, 10));
  }
}
