package org.guavagw.gateway.internal.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.gateway.ProcessResources;
import org.junit.jupiter.api.Test;

class MemoryAccountTest {
  private static final long LIMIT = 1000;
  private static final int MAX_CONNECTIONS = 4;

  private final List<Holder> evicted = new ArrayList<>();
  private final MemoryAccount account =
      new MemoryAccount(
          new MemoryLimits(LIMIT, MAX_CONNECTIONS), (reason, standing, bytes, total) -> {});

  @Test
  void shouldCountWhatAllConnectionsHold() {
    MemoryShare share = open(Standing.RECEIVING).share;
    share.set(300);
    open(Standing.SERVING).share.set(200);
    share.set(100);

    assertThat(account.totalBytes()).isEqualTo(300);
    share.close();
    assertThat(account.totalBytes()).isEqualTo(200);
  }

  @Test
  void shouldGiveUpTheLargestOfThoseWithTheSameStanding() {
    Holder small = open(Standing.RECEIVING);
    Holder large = open(Standing.RECEIVING);
    small.share.set(300);
    large.share.set(800);

    assertThat(evicted).containsExactly(large);
    assertThat(account.totalBytes()).isEqualTo(300);
  }

  @Test
  void shouldGiveUpWhatHasNoCompleteRequestBeforeAnAnswer() {
    Holder answered = open(Standing.ANSWERED);
    Holder receiving = open(Standing.RECEIVING);
    Holder waiting = open(Standing.WAITING);
    answered.share.set(400);
    receiving.share.set(400);
    waiting.share.set(350);
    assertThat(evicted).containsExactly(waiting);

    open(Standing.SERVING).share.set(350);
    assertThat(evicted).containsExactly(waiting, receiving);
  }

  @Test
  void shouldGiveUpAnAnswerThatIsNotTakenBeforeOneThatIsStillReceived() {
    Holder answering = open(Standing.ANSWERING);
    Holder answered = open(Standing.ANSWERED);
    answering.share.set(550);
    answered.share.set(501);
    assertThat(evicted).containsExactly(answered);

    open(Standing.SERVING).share.set(500);
    assertThat(evicted).containsExactly(answered, answering);
  }

  @Test
  void shouldNotGiveUpARequestThatIsServedOrTheOnlyOne() {
    Holder only = open(Standing.RECEIVING);
    only.share.set(2 * LIMIT);
    assertThat(evicted).isEmpty();
    only.share.set(0);

    open(Standing.SERVING).share.set(LIMIT);
    open(Standing.SERVING).share.set(LIMIT);
    assertThat(evicted).isEmpty();
  }

  @Test
  void shouldGiveUpARequestThatFindsAllMemoryInUse() {
    open(Standing.SERVING).share.set(LIMIT);
    Holder receiving = open(Standing.RECEIVING);
    receiving.share.set(1);

    assertThat(evicted).containsExactly(receiving);
  }

  @Test
  void shouldGiveUpTheLongestUnusedConnectionForANewOne() {
    Holder first = open(Standing.WAITING);
    Holder second = open(Standing.WAITING);
    open(Standing.SERVING);
    open(Standing.SERVING);
    first.share.touch();
    open(Standing.WAITING);

    assertThat(evicted).containsExactly(second);
  }

  @Test
  void shouldOpenNoMoreConnectionsThanTheLimitIfAllServeRequests() {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      open(Standing.SERVING);
    }
    assertThat(account.open(new Holder(Standing.WAITING))).isEmpty();
    assertThat(evicted).isEmpty();
  }

  @Test
  void shouldTakeTheSmallestOfThePartsOfMemory() {
    ProcessResources resources = new ProcessResources(800, 1200, 0);

    assertThat(MemoryLimits.of(resources, 4000, 4000)).isEqualTo(new MemoryLimits(100, 700));
    assertThat(MemoryLimits.of(resources, 80, 4000).heldBytes()).isEqualTo(20);
    assertThat(MemoryLimits.of(resources, 4000, 80).heldBytes()).isEqualTo(40);
  }

  private Holder open(Standing standing) {
    Holder holder = new Holder(standing);
    holder.share = account.open(holder).orElseThrow();
    return holder;
  }

  /** Releases what it holds when it is given up. */
  private final class Holder implements MemoryHolder {
    private final Standing standing;
    private MemoryShare share;

    Holder(Standing standing) {
      this.standing = standing;
    }

    @Override
    public Standing standing() {
      return standing;
    }

    @Override
    public void evict(EvictionReason reason) {
      evicted.add(this);
      share.set(0);
      if (reason == EvictionReason.CONNECTIONS) {
        share.close();
      }
    }
  }
}
