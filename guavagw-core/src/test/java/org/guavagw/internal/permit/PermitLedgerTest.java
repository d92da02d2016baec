package org.guavagw.internal.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.permit.PermitMessage.HeldPermit;
import org.junit.jupiter.api.Test;

class PermitLedgerTest {
  private static final PeerIdentity HOLDER = new PeerIdentity("entry-1", 1);
  private static final PeerIdentity OTHER = new PeerIdentity("entry-2", 1);
  private static final int LIMIT = 2;
  private static final long MS = 1_000_000;

  private final PermitLedger ledger = new PermitLedger();

  @Property(seed = "11", tries = 300)
  void shouldNeverLetMoreThanTheLimitBeOut(
      @ForAll @Size(max = 60) List<@IntRange(max = 19) Integer> steps) {
    PermitLedger tested = new PermitLedger();
    Map<Integer, Boolean> naive = new HashMap<>();
    for (int step : steps) {
      int id = step % 10;
      if (step < 10) {
        boolean expected = naive.containsKey(id) || naive.size() < LIMIT;
        boolean granted = tested.grant(HOLDER, permit(id, 1_000), LIMIT, 0);
        assertThat(granted).isEqualTo(expected);
        if (granted) {
          naive.put(id, true);
        }
      } else {
        tested.release(HOLDER, "engine", id);
        naive.remove(id);
      }
      assertThat(tested.out("engine")).isEqualTo(naive.size()).isLessThanOrEqualTo(LIMIT);
    }
  }

  @Test
  void shouldGrantAgainOnceAPermitHasEnded() {
    ledger.grant(HOLDER, permit(1, 100), 1, 0);

    assertThat(ledger.grant(OTHER, permit(1, 100), 1, 99 * MS)).isFalse();
    assertThat(ledger.grant(OTHER, permit(1, 100), 1, 100 * MS)).isTrue();
  }

  @Test
  void shouldKeepPermitsOfAPausedHolderAndDropThoseOfAGoneOne() {
    ledger.grant(HOLDER, permit(1, 60_000), LIMIT, 0);
    ledger.grant(OTHER, permit(1, 60_000), LIMIT, 0);

    ledger.dropHolders(OTHER::equals);

    assertThat(ledger.out("engine")).isEqualTo(1);
  }

  @Test
  void shouldCountARepeatedAskOnce() {
    ledger.grant(HOLDER, permit(1, 100), LIMIT, 0);
    ledger.grant(HOLDER, permit(1, 100), LIMIT, 0);

    assertThat(ledger.out("engine")).isEqualTo(1);
  }

  private static HeldPermit permit(long id, long endsInMs) {
    return new HeldPermit("engine", id, endsInMs);
  }
}
