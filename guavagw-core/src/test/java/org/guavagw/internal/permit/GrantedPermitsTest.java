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

class GrantedPermitsTest {
  private static final PeerIdentity HOLDER = new PeerIdentity("entry-1", 1);
  private static final PeerIdentity OTHER = new PeerIdentity("entry-2", 1);
  private static final int LIMIT = 2;
  private static final long MS = 1_000_000;

  private final GrantedPermits granted = new GrantedPermits();

  @Property(seed = "11", tries = 300)
  void shouldNeverGrantMoreThanTheLimit(
      @ForAll @Size(max = 60) List<@IntRange(max = 19) Integer> steps) {
    GrantedPermits tested = new GrantedPermits();
    Map<Integer, Boolean> expectedIds = new HashMap<>();
    for (int step : steps) {
      int id = step % 10;
      if (step < 10) {
        boolean expected = expectedIds.containsKey(id) || expectedIds.size() < LIMIT;
        boolean isGranted = tested.grant(HOLDER, permit(id, 1_000), LIMIT, 0);
        assertThat(isGranted).isEqualTo(expected);
        if (isGranted) {
          expectedIds.put(id, true);
        }
      } else {
        tested.release(HOLDER, "engine", id);
        expectedIds.remove(id);
      }
      assertThat(tested.grantedCount("engine"))
          .isEqualTo(expectedIds.size())
          .isLessThanOrEqualTo(LIMIT);
    }
  }

  @Test
  void shouldGrantAgainAfterAPermitHasEnded() {
    granted.grant(HOLDER, permit(1, 100), 1, 0);

    assertThat(granted.grant(OTHER, permit(1, 100), 1, 99 * MS)).isFalse();
    assertThat(granted.grant(OTHER, permit(1, 100), 1, 100 * MS)).isTrue();
  }

  @Test
  void shouldKeepPermitsOfPausedHoldersAndDropThoseOfGoneHolders() {
    granted.grant(HOLDER, permit(1, 60_000), LIMIT, 0);
    granted.grant(OTHER, permit(1, 60_000), LIMIT, 0);

    granted.dropHolders(OTHER::equals);

    assertThat(granted.grantedCount("engine")).isEqualTo(1);
  }

  @Test
  void shouldCountARepeatedRequestOnce() {
    granted.grant(HOLDER, permit(1, 100), LIMIT, 0);
    granted.grant(HOLDER, permit(1, 100), LIMIT, 0);

    assertThat(granted.grantedCount("engine")).isEqualTo(1);
  }

  private static HeldPermit permit(long id, long endsInMs) {
    return new HeldPermit("engine", id, endsInMs);
  }
}
