package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.guavagw.gateway.internal.ManualClock;
import org.junit.jupiter.api.Test;

class KnowledgeTest {
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private final ManualClock clock = new ManualClock();
  private final Knowledge knowledge = new Knowledge(clock.clocks());

  @Test
  void shouldBeVeryOldBeforeTheFirstCheck() {
    assertThat(knowledge.ordersAge()).isGreaterThan(MINUTE);
  }

  @Test
  void shouldAgeFromTheLastCheck() {
    knowledge.ordersChecked(now());
    clock.advance(Duration.ofSeconds(2));
    assertThat(knowledge.ordersAge()).isEqualTo(Duration.ofSeconds(2));
  }

  @Test
  void shouldAgeWhileTheVmWasSuspended() {
    knowledge.ordersChecked(now());
    clock.stepWall(Duration.ofSeconds(6));
    assertThat(knowledge.ordersAge()).isEqualTo(Duration.ofSeconds(6));
  }

  @Test
  void shouldNotGrowYoungerWhenTheWallClockIsSetBack() {
    knowledge.ordersChecked(now());
    clock.advance(Duration.ofSeconds(3));
    clock.stepWall(MINUTE.negated());
    assertThat(knowledge.ordersAge()).isEqualTo(Duration.ofSeconds(3));
  }

  @Test
  void shouldKeepTheNewestCheck() {
    knowledge.ordersChecked(now());
    knowledge.ordersChecked(now().plus(Duration.ofSeconds(-1)));
    assertThat(knowledge.ordersAge()).isEqualTo(Duration.ZERO);
  }

  @Test
  void shouldCountASuspensionBetweenAQuestionAndItsAnswer() {
    Moment sent = now();
    clock.stepWall(Duration.ofSeconds(6));
    knowledge.ordersChecked(sent);
    assertThat(knowledge.ordersAge()).isEqualTo(Duration.ofSeconds(6));
  }

  private Moment now() {
    return Moment.now(clock.clocks());
  }
}
