package org.guavagw.gateway.internal.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeldBytesLimitTest {
  private final List<String> dropped = new ArrayList<>();
  private final HeldBytesLimit limit = new HeldBytesLimit(1000);

  @Test
  void shouldDropTheLargestUntilTheOthersAreWithinTheLimit() {
    HeldBytesLimit.Part small = part("small");
    part("larger").set(400);
    part("largest").set(500);
    small.set(100);
    assertThat(dropped).isEmpty();

    small.set(101);
    assertThat(dropped).containsExactly("largest");
    part("next").set(900);
    assertThat(dropped).containsExactly("largest", "next");
  }

  @Test
  void shouldNotCountWhatWasFreed() {
    HeldBytesLimit.Part freed = part("freed");
    freed.set(1000);
    freed.set(0);
    part("later").set(1000);

    assertThat(dropped).isEmpty();
  }

  private HeldBytesLimit.Part part(String name) {
    return limit.newPart(() -> dropped.add(name));
  }
}
