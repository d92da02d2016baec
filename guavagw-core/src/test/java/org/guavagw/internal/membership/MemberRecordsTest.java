package org.guavagw.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class MemberRecordsTest {
  private static final String SELF = "luxor-ops-0";
  private static final List<MemberState> STATES = List.copyOf(EnumSet.allOf(MemberState.class));

  @Property(tries = 100, seed = "5")
  void shouldConvergeInWhateverOrderRecordsArrive(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<MemberRecord> records = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      records.add(randomRecord(random));
    }
    MemberRecords inOrder = records();
    records.forEach(r -> inOrder.applyIfNewer(r, Optional.empty()));

    Collections.shuffle(records, new Random(seed));
    MemberRecords shuffled = records();
    records.forEach(r -> shuffled.applyIfNewer(r, Optional.of("luxor-ops-9")));

    assertThat(shuffled.present()).containsExactlyInAnyOrderElementsOf(inOrder.present());
    assertThat(shuffled.digest()).isEqualTo(inOrder.digest());
  }

  @Test
  void shouldRefuteAFalseClaimAboutItselfWithAHigherVersion() {
    MemberRecords records = records();
    records.applyIfNewer(records.self().withState(MemberState.SUSPECT), Optional.of("luxor-ops-1"));

    assertThat(records.self().state()).isEqualTo(MemberState.ALIVE);
    assertThat(records.self().version()).isEqualTo(2);
  }

  @Test
  void shouldBecomeLeavingWhenThePlatformListsThisEntryAsLeaving() {
    MemberRecords records = records();
    records.applyIfNewer(records.self().withState(MemberState.LEAVING), Optional.empty());

    assertThat(records.self().state()).isEqualTo(MemberState.LEAVING);
  }

  private static MemberRecords records() {
    return new MemberRecords(record(SELF, 1, 1, MemberState.ALIVE), () -> {});
  }

  private static MemberRecord randomRecord(SplittableRandom random) {
    MemberState state = STATES.get(random.nextInt(STATES.size()));
    String id = "luxor-ops-" + (1 + random.nextInt(3));
    MemberRecord record = record(id, random.nextInt(2), random.nextInt(3), state);
    return random.nextInt(5) == 0 ? record.asGone() : record;
  }

  private static MemberRecord record(String id, long incarnation, long version, MemberState state) {
    return new MemberRecord(id, "luxor-ops", "10.0.0.1", 7000, incarnation, version, state, false);
  }
}
