package org.guavagw.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.guavagw.config.GatewayConfig;

class ConfigHolderTest {
  @Property(tries = 100, seed = "3")
  void shouldNeverRevertInWhateverOrderRevisionsArrive(
      @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 10) Integer> revisions) {
    ConfigHolder holder = new ConfigHolder();
    List<Long> adopted = new ArrayList<>();
    holder.onAdopted(c -> adopted.add(c.revision()));

    revisions.forEach(r -> holder.adopt(new RevisionedConfig(r, GatewayConfig.empty())));

    assertThat(adopted).isSorted().doesNotHaveDuplicates();
    assertThat(holder.current().revision()).isEqualTo((long) Collections.max(revisions));
  }
}
