package org.guavagw.gateway.internal.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class VersionEvidenceTest {
  private static final int ENTRIES = 7;
  private static final int BAD_ANSWERS_ALLOWED = 50;

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void shouldCallAVersionBadThatFailsAThirdWellBeforeTheBound(int seed) {
    assertThat(badAnswersUntilAlarm(seed, 0.33, 0.004)).isLessThan(BAD_ANSWERS_ALLOWED / 2);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5})
  void shouldCallAVersionBadThoughTheOldOneFailsSometimes(int seed) {
    assertThat(badAnswersUntilAlarm(seed, 0.5, 0.14)).isLessThan(BAD_ANSWERS_ALLOWED);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void shouldNotCallAVersionBadThatFailsAsOftenAsTheOldOne(int seed) {
    Random random = new Random(seed);
    VersionEvidence evidence = new VersionEvidence();
    for (int i = 0; i < 2000; i++) {
      answer(evidence, random.nextDouble() < 0.14, random.nextInt(10) == 0);
      assertThat(evidence.alarming()).isFalse();
    }
  }

  @Test
  void shouldCallAVersionBadThatIsSlow() {
    VersionEvidence evidence = new VersionEvidence();
    for (int i = 0; i < 60; i++) {
      evidence.onSuccess("r", "r/m", 200, false);
    }
    for (int i = 0; i < 12; i++) {
      evidence.onSuccess("r", "r/m", 1600, true);
    }
    assertThat(evidence.alarming()).isTrue();
  }

  @Test
  void shouldCallAVersionBadByWhatOtherEntriesSaw() {
    VersionEvidence here = new VersionEvidence();
    for (int entry = 0; entry < 6; entry++) {
      VersionEvidence there = new VersionEvidence();
      for (int i = 0; i < 10; i++) {
        there.onSuccess("r", "r/m", 100, false);
      }
      there.onFailure("r", true);
      there.onFailure("r", true);
      assertThat(there.alarming()).isFalse();
      here.onReport("entry-" + entry, there.own());
    }
    assertThat(here.alarming()).isTrue();
  }

  /** Bad answers of the new version over all entries until one of them raises the alarm. */
  private static int badAnswersUntilAlarm(int seed, double newRate, double oldRate) {
    Random random = new Random(seed);
    VersionEvidence[] entries = new VersionEvidence[ENTRIES];
    for (int i = 0; i < ENTRIES; i++) {
      entries[i] = new VersionEvidence();
    }
    int bad = 0;
    while (true) {
      int at = random.nextInt(ENTRIES);
      boolean onNew = random.nextInt(12) == 0;
      boolean failed = random.nextDouble() < (onNew ? newRate : oldRate);
      answer(entries[at], failed, onNew);
      bad += onNew && failed ? 1 : 0;
      for (int other = 0; other < ENTRIES; other++) {
        if (other != at) {
          entries[other].onReport("entry-" + at, entries[at].own());
        }
        if (entries[other].alarming()) {
          return bad;
        }
      }
    }
  }

  private static void answer(VersionEvidence evidence, boolean failed, boolean onNew) {
    if (failed) {
      evidence.onFailure("r", onNew);
    } else {
      evidence.onSuccess("r", "r/m", 100, onNew);
    }
  }
}
