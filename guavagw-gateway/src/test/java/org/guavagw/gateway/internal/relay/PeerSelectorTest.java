package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ReachReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerSelectorTest {
  private static final int REQUESTS = 1600;

  private final ManualClock clock = new ManualClock();
  private final Members members =
      new Members(
          "self",
          List.of(
              member("self", "dc1"),
              member("near1", "dc1"),
              member("near2", "dc1"),
              member("far", "dc2")));
  private final PeerReach reach = new PeerReach(report -> {});
  private final PeerSelector selector = new PeerSelector(() -> members, reach);

  @Test
  void shouldSelectTheEntriesOfThisDataCentreFirst() {
    Set<String> tried = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      tried.add(select("r", tried).orElseThrow());
    }

    assertThat(tried).containsExactlyInAnyOrder("near1", "near2", "far");
    assertThat(select("r", Set.of()).orElseThrow()).startsWith("near");
    assertThat(select("r", Set.of("near1", "near2"))).contains("far");
    assertThat(select("r", tried)).isEmpty();
  }

  @Test
  void shouldSpreadRequestsOverTheEntriesOfADataCentre() {
    Set<String> selected = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      selected.add(select("request" + i, Set.of()).orElseThrow());
    }

    assertThat(selected).containsExactlyInAnyOrder("near1", "near2");
  }

  @Test
  void shouldAvoidAnEntryForAWhile() {
    selector.avoid("near1", clock.read());
    selector.avoid("near2", clock.read());
    assertThat(select("r", Set.of())).contains("far");

    clock.advance(PeerSelector.AVOIDANCE);
    selector.expire(clock.read());

    assertThat(select("r", Set.of()).orElseThrow()).startsWith("near");
  }

  @Test
  void shouldLeaveTheDataCentreAfterOneRefusalThere() {
    assertThat(select("r", Set.of("near1"))).contains("far");
    assertThat(select("r", Set.of("near1", "far"))).contains("near2");
  }

  @Test
  void shouldSelectNoEntryThatReportsThatItIsCutOff() {
    report("near1", "s");
    report("near2", "s", "other");
    assertThat(select("r", Set.of())).contains("far");

    report("near2", "other");
    assertThat(select("r", Set.of())).contains("near2");

    report("near2");
    clock.advance(PeerReach.VALIDITY);
    assertThat(select("r", Set.of("near2", "far"))).contains("near1");
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 8, 16})
  void shouldReachAnotherDataCentreWithTheFirstRequestOfAPartitionedOne(int entries) {
    List<Member> all = new ArrayList<>(List.of(member("self", "dc1")));
    for (int i = 1; i < entries; i++) {
      all.add(member("near" + i, "dc1"));
    }
    for (int i = 0; i < entries; i++) {
      all.add(member("far" + i, "dc2"));
    }
    Members large = new Members("self", all);
    PeerSelector inLarge = new PeerSelector(() -> large, reach);
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < REQUESTS; i++) {
      Set<String> tried = new HashSet<>();
      tried.add(inLarge.select("r" + i, "s", tried, clock.read()).orElseThrow().name());
      Member second = inLarge.select("r" + i, "s", tried, clock.read()).orElseThrow();
      assertThat(second.dataCentre()).isEqualTo("dc2");
      served.merge(second.name(), 1, Integer::sum);
    }

    int even = REQUESTS / entries;
    assertThat(served.values()).allMatch(n -> n < 2 * even).hasSize(entries);
  }

  @Test
  void shouldReportAChangeOfReachAtOnceAndRepeatItWhileItIsCutOff() {
    List<ReachReport> sent = new ArrayList<>();
    PeerReach own = new PeerReach(sent::add);
    own.report(Set.of(), clock.read());
    assertThat(sent).isEmpty();

    own.report(Set.of("s"), clock.read());
    own.report(Set.of("s"), clock.read());
    assertThat(sent).containsExactly(new ReachReport(Set.of("s")));

    clock.advance(PeerReach.REFRESH_PERIOD);
    own.report(Set.of("s"), clock.read());
    own.report(Set.of(), clock.read());
    clock.advance(PeerReach.REFRESH_PERIOD);
    own.report(Set.of(), clock.read());
    assertThat(sent).hasSize(3).last().isEqualTo(new ReachReport(Set.of()));
  }

  private void report(String entry, String... services) {
    reach.onReport(entry, new ReachReport(Set.of(services)), clock.read());
  }

  private Optional<String> select(String request, Set<String> tried) {
    return selector.select(request, "s", tried, clock.read()).map(Member::name);
  }

  private static Member member(String name, String dataCentre) {
    return new Member(name, dataCentre, "127.0.0.1", 1);
  }
}
