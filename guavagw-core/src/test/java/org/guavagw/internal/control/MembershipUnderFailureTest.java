package org.guavagw.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.guavagw.internal.membership.MemberState;
import org.guavagw.platform.Vm;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MembershipUnderFailureTest {
  private static final Duration SETTLE = Duration.ofSeconds(10);
  private static final Duration SUSPICION = Duration.ofSeconds(8);

  private final TestCluster cluster = new TestCluster();

  @BeforeEach
  void start() {
    cluster.startDataCentre("kingston", 5);
    cluster.startDataCentre("may-pen", 4);
    cluster.run(SETTLE);
  }

  @Test
  void shouldSuspectADeadMemberEverywhereWithinSeconds() {
    cluster.peers().kill("kingston-2");
    cluster.run(SUSPICION);

    assertThat(others("kingston-2"))
        .allSatisfy(e -> assertThat(e.stateOf("kingston-2")).contains(MemberState.SUSPECT));
    assertThat(others("kingston-2")).allSatisfy(e -> assertThat(e.aliveIds()).hasSize(8));
  }

  @Test
  void shouldTreatAMemberAsAliveAgainAfterAPause() {
    cluster.peers().kill("kingston-2");
    cluster.run(SUSPICION);
    cluster.peers().revive("kingston-2");
    cluster.run(SETTLE.multipliedBy(2));

    assertThat(cluster.entries()).allSatisfy(e -> assertThat(e.aliveIds()).hasSize(9));
  }

  @Test
  void shouldTreatARestartedMemberWithTheSameIdAsAlive() {
    cluster.peers().kill("kingston-2");
    cluster.run(SUSPICION);
    cluster.start(TestCluster.vm("kingston", 2), List.of());
    cluster.run(SETTLE.multipliedBy(2));

    assertThat(cluster.entries()).allSatisfy(e -> assertThat(e.aliveIds()).hasSize(9));
  }

  @Test
  void shouldKeepMembersWhileThePlatformListIsDown() {
    cluster.setVmListDown(true);
    cluster.run(Duration.ofMinutes(2));

    assertThat(cluster.entries()).allSatisfy(e -> assertThat(e.aliveIds()).hasSize(9));
  }

  @Test
  void shouldKeepAMemberThatAnswersThoughItIsNotListed() {
    cluster.vms().removeIf(v -> v.id().equals("kingston-2"));
    cluster.run(Duration.ofMinutes(2));

    assertThat(cluster.entries()).allSatisfy(e -> assertThat(e.aliveIds()).hasSize(9));
  }

  @Test
  void shouldRemoveADeadMemberThatIsNoLongerListed() {
    cluster.peers().kill("kingston-2");
    cluster.vms().removeIf(v -> v.id().equals("kingston-2"));
    cluster.run(Duration.ofMinutes(2));

    assertThat(others("kingston-2")).allSatisfy(e -> assertThat(e.stateOf("kingston-2")).isEmpty());
  }

  @Test
  void shouldMarkAMemberAsLeavingWhenItAnnouncesIt() {
    cluster.entry("kingston-2").membership().leave();
    cluster.run(Duration.ofSeconds(5));

    assertThat(others("kingston-2"))
        .allSatisfy(e -> assertThat(e.stateOf("kingston-2")).contains(MemberState.LEAVING));
  }

  @Test
  void shouldMarkAMemberAsLeavingWhenTheListSaysSo() {
    Vm vm = TestCluster.vm("kingston", 2);
    cluster.vms().remove(vm);
    cluster.vms().add(new Vm(vm.id(), vm.dataCentre(), vm.host(), vm.controlPort(), true));
    cluster.run(Duration.ofSeconds(12));

    assertThat(cluster.entries())
        .allSatisfy(e -> assertThat(e.stateOf("kingston-2")).contains(MemberState.LEAVING));
  }

  @Test
  void shouldSuspectAPartitionedDataCentreUntilThePartitionHeals() {
    cluster.peers().partition((a, b) -> a.startsWith("kingston") && b.startsWith("may-pen"));
    cluster.run(Duration.ofSeconds(20));
    assertThat(cluster.entry("may-pen-0").aliveIds())
        .containsExactly("may-pen-0", "may-pen-1", "may-pen-2", "may-pen-3");
    assertThat(cluster.entry("kingston-0").aliveIds()).hasSize(5);

    cluster.peers().partition((a, b) -> false);
    cluster.run(Duration.ofSeconds(15));
    assertThat(cluster.entries()).allSatisfy(e -> assertThat(e.aliveIds()).hasSize(9));
  }

  @Test
  void shouldNotSpreadTheSuspicionsOfAnEntryThatWasPartitioned() {
    cluster.peers().partition((a, b) -> a.equals("kingston-2"));
    cluster.run(Duration.ofSeconds(30));
    assertThat(cluster.entry("kingston-2").aliveIds()).containsExactly("kingston-2");

    Set<String> suspected = new TreeSet<>();
    cluster
        .entry("kingston-0")
        .membership()
        .onChange(
            members ->
                members.stream()
                    .filter(m -> m.state() == MemberState.SUSPECT)
                    .forEach(m -> suspected.add(m.id())));
    cluster.peers().partition((a, b) -> false);
    cluster.run(Duration.ofSeconds(23));
    suspected.remove("kingston-2");
    assertThat(suspected).isEmpty();
    assertThat(cluster.entries()).allSatisfy(e -> assertThat(e.aliveIds()).hasSize(9));
  }

  private List<TestEntry> others(String id) {
    return cluster.entries().stream().filter(e -> !e.id().equals(id)).toList();
  }
}
