package org.guavagw.gateway.internal.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.junit.jupiter.api.Test;

class MembersTest {
  @Test
  void shouldMakeAllOfFewEntriesEvaluators() {
    assertThat(members(2, 4).evaluators()).hasSize(8);
  }

  @Test
  void shouldMakeTwoEntriesOfEachDataCentreEvaluatorsAmongMany() {
    assertThat(members(4, 20).evaluators()).hasSize(8);
    assertThat(members(4, 20).evaluators().stream().map(Member::dataCentre).distinct()).hasSize(4);
  }

  @Test
  void shouldGiveEveryEvaluatorADifferentCoordinatorRank() {
    List<Member> all = members(2, 4).all();
    assertThat(all.stream().map(m -> new Members(m.name(), all).coordinatorRank()))
        .containsExactlyInAnyOrder(0, 1, 2, 3, 4, 5, 6, 7);
  }

  @Test
  void shouldRankOtherEntriesAfterTheEvaluators() {
    List<Member> all = members(4, 20).all();
    List<Integer> ranks =
        all.stream().map(m -> new Members(m.name(), all).coordinatorRank()).toList();
    assertThat(ranks.stream().filter(rank -> rank < 8).distinct()).hasSize(8);
    assertThat(ranks.stream().filter(rank -> rank < 8)).hasSize(8);
  }

  @Test
  void shouldRankIndependentlyOfTheOrderOfTheMembers() {
    List<Member> all = members(4, 20).all();
    List<Member> reversed = new ArrayList<>(all);
    Collections.reverse(reversed);
    for (Member member : all) {
      assertThat(new Members(member.name(), reversed).coordinatorRank())
          .isEqualTo(new Members(member.name(), all).coordinatorRank());
    }
  }

  private static Members members(int dataCentres, int entriesInEach) {
    List<Member> all = new ArrayList<>();
    for (int dc = 0; dc < dataCentres; dc++) {
      for (int i = 0; i < entriesInEach; i++) {
        all.add(new Member("entry-" + dc + "-" + i, "dc" + dc, "127.0.0.1", i + 1));
      }
    }
    return new Members("entry-0-0", all);
  }
}
