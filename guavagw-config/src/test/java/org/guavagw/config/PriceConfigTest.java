package org.guavagw.config;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class PriceConfigTest {
  @Property(seed = "1")
  void shouldNeverRoundACostDownToZero(@ForAll @LongRange(min = 1, max = 1_000_000) long tokens) {
    var price = new PriceConfig(1, 1);

    assertThat(price.costMicros(tokens, 0)).isPositive();
  }
}
