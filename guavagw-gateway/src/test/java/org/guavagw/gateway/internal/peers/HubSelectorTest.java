package org.guavagw.gateway.internal.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.junit.jupiter.api.Test;

class HubSelectorTest {
  private static final Set<String> REGION = Set.of("dc0", "dc1", "dc2");

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

  @Test
  void shouldReadTheStoreFromOneEntryOfTheRegion() {
    List<Member> all = threeDataCentres();

    List<Member> reading =
        all.stream().filter(m -> selectorIn(REGION, m, all).hubToFollow().isEmpty()).toList();
    assertThat(reading).hasSize(1);
    assertThat(all.stream().filter(m -> selectorIn(REGION, m, all).isReader())).hasSize(3);
    for (Member member : all) {
      selectorIn(REGION, member, all)
          .hubToFollow()
          .filter(hub -> !hub.equals(reading.get(0).name()))
          .ifPresent(hub -> assertThat(dataCentreOf(hub, all)).isEqualTo(member.dataCentre()));
    }
  }

  @Test
  void shouldReadTheStoreFromTheNextDataCentreWhereTheReaderIsSilent() {
    List<Member> all = threeDataCentres();
    Member reader = firstReader(all);
    Member next =
        all.stream()
            .filter(
                m -> selectorIn(REGION, m, all).hubToFollow().equals(Optional.of(reader.name())))
            .filter(m -> !m.dataCentre().equals(reader.dataCentre()))
            .findFirst()
            .orElseThrow();
    HubSelector selector = selectorIn(REGION, next, all);

    selector.onRefusal(reader.name());

    assertThat(selector.hubToFollow().map(hub -> dataCentreOf(hub, all)))
        .isNotEqualTo(Optional.of(reader.dataCentre()));
  }

  @Test
  void shouldKnowWhenAllEntriesThatItMayFollowHaveLostTheStore() {
    List<Member> all = threeDataCentres();
    HubSelector selector =
        all.stream()
            .map(m -> selectorIn(REGION, m, all))
            .filter(s -> !s.isReader())
            .findFirst()
            .orElseThrow();
    selector.onSlowAnswer(selector.hubToFollow().orElseThrow());
    while (selector.hubToFollow().isPresent()) {
      assertThat(selector.isRefusedByAll()).isFalse();
      selector.onRefusal(selector.hubToFollow().get());
    }
    assertThat(selector.isRefusedByAll()).as("one is only slow").isFalse();

    clock.advance(Duration.ofSeconds(1));
    while (selector.hubToFollow().isPresent()) {
      selector.onRefusal(selector.hubToFollow().get());
    }

    assertThat(selector.isRefusedByAll()).isTrue();
  }

  private Member firstReader(List<Member> all) {
    return all.stream()
        .filter(m -> selectorIn(REGION, m, all).hubToFollow().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private static String dataCentreOf(String name, List<Member> all) {
    return all.stream().filter(m -> m.name().equals(name)).findFirst().orElseThrow().dataCentre();
  }

  private HubSelector selectorIn(Set<String> region, Member self, List<Member> all) {
    Members members = new Members(self.name(), all);
    return new HubSelector(() -> members, 4, region, clock);
  }

  private static List<Member> threeDataCentres() {
    List<Member> all = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      all.add(new Member("entry-" + i, "dc" + i % 3, "127.0.0.1", i + 1));
    }
    return all;
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
