package org.guavagw.gateway.internal.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.junit.jupiter.api.Test;

class HubSelectorTest {
  private final ManualClock clock = new ManualClock();

  @Test
  void shouldSelectNoHubAmongFewEntries() {
    for (Member member : entries(3)) {
      assertThat(selectorOf(member, entries(3)).hubToFollow()).isEmpty();
    }
  }

  @Test
  void shouldSelectTheSameHubOnAllOfManyEntries() {
    List<Member> all = entries(20);

    List<Optional<String>> hubs = all.stream().map(m -> selectorOf(m, all).hubToFollow()).toList();

    assertThat(hubs.stream().filter(Optional::isEmpty)).hasSize(1);
    assertThat(hubs.stream().flatMap(Optional::stream).distinct()).hasSize(1);
  }

  @Test
  void shouldSelectTheNextEntryWhileTheHubIsAvoided() {
    List<Member> all = entries(20);
    HubSelector selector = selectorOf(followerAmong(all), all);
    String first = selector.hubToFollow().orElseThrow();

    selector.avoid(first);
    assertThat(selector.hubToFollow()).isNotEqualTo(Optional.of(first));

    clock.advance(Duration.ofSeconds(30));
    assertThat(selector.hubToFollow()).contains(first);
  }

  @Test
  void shouldSelectHubsInItsOwnDataCentreOnly() {
    List<Member> all = entries(20);
    all.add(new Member("elsewhere", "dc2", "127.0.0.1", 1));

    assertThat(selectorOf(all.get(20), all).hubToFollow()).isEmpty();
  }

  private Member followerAmong(List<Member> all) {
    return all.stream()
        .filter(m -> selectorOf(m, all).hubToFollow().isPresent())
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  private HubSelector selectorOf(Member self, List<Member> all) {
    Members members = new Members(self.name(), all);
    return new HubSelector(() -> members, 4, clock);
  }

  private static List<Member> entries(int count) {
    List<Member> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(new Member("entry-" + i, "dc1", "127.0.0.1", i + 1));
    }
    return all;
  }
}
