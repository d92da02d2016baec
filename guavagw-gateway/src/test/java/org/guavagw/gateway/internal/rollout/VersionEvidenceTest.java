package org.guavagw.gateway.internal.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class VersionEvidenceTest {
  private static final int ENTRIES = 7;
  private static final int MAX_BAD_ANSWERS = 50;

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void shouldDetectAVersionThatFailsAThirdWellBeforeTheLimit(int seed) {
    assertThat(badAnswersUntilDetection(seed, 0.33, 0.004)).isLessThan(MAX_BAD_ANSWERS / 2);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5})
  void shouldDetectABadVersionEvenIfTheOldOneSometimesFails(int seed) {
    assertThat(badAnswersUntilDetection(seed, 0.5, 0.14)).isLessThan(MAX_BAD_ANSWERS);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void shouldAcceptAVersionThatFailsAsOftenAsTheOldOne(int seed) {
    Random random = new Random(seed);
    VersionEvidence evidence = new VersionEvidence();
    for (int i = 0; i < 2000; i++) {
      answer(evidence, random.nextDouble() < 0.14, random.nextInt(10) == 0);
      assertThat(evidence.isNewVersionWorse()).isFalse();
    }
  }

  @Test
  void shouldDetectASlowVersion() {
    VersionEvidence evidence = new VersionEvidence();
    for (int i = 0; i < 60; i++) {
      succeed(evidence, 200, false);
    }
    for (int i = 0; i < 12; i++) {
      succeed(evidence, 1600, true);
    }
    assertThat(evidence.isNewVersionWorse()).isTrue();
  }

  @Test
  void shouldDetectABadVersionFromTheReportsOfOtherEntries() {
    VersionEvidence local = new VersionEvidence();
    for (int entry = 0; entry < 6; entry++) {
      VersionEvidence remote = new VersionEvidence();
      for (int i = 0; i < 10; i++) {
        succeed(remote, 100, false);
      }
      remote.onFailure("r", true);
      remote.onFailure("r", true);
      assertThat(remote.isNewVersionWorse()).isFalse();
      local.onReport("entry-" + entry, remote.local());
    }
    assertThat(local.isNewVersionWorse()).isTrue();
  }

  /**
   * Returns how many bad answers the new version gives over all entries until one entry finds it
   * worse.
   */
  private static int badAnswersUntilDetection(
      int seed, double newFailureRate, double oldFailureRate) {
    Random random = new Random(seed);
    VersionEvidence[] entries = new VersionEvidence[ENTRIES];
    for (int i = 0; i < ENTRIES; i++) {
      entries[i] = new VersionEvidence();
    }
    int bad = 0;
    while (true) {
      int entry = random.nextInt(ENTRIES);
      boolean onNew = random.nextInt(12) == 0;
      boolean failed = random.nextDouble() < (onNew ? newFailureRate : oldFailureRate);
      answer(entries[entry], failed, onNew);
      bad += onNew && failed ? 1 : 0;
      for (int other = 0; other < ENTRIES; other++) {
        if (other != entry) {
          entries[other].onReport("entry-" + entry, entries[entry].local());
        }
        if (entries[other].isNewVersionWorse()) {
          return bad;
        }
      }
    }
  }

  private static void answer(VersionEvidence evidence, boolean failed, boolean onNew) {
    if (failed) {
      evidence.onFailure("r", onNew);
    } else {
      succeed(evidence, 100, onNew);
    }
  }

  private static void succeed(VersionEvidence evidence, double millis, boolean onNew) {
    evidence.onTiming("r", "r/m", millis, onNew);
    evidence.onSuccess("r", onNew);
  }
}
