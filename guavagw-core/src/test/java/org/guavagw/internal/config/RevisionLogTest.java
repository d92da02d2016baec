package org.guavagw.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RevisionLogTest {
  private final ConfigCodec codec = new ConfigCodec();

  @Property(tries = 60, seed = "7")
  void shouldUpdateAPeerFromAnyRevisionToTheNewest(
      @ForAll @IntRange(min = 1, max = 200) int newest,
      @ForAll @IntRange(min = 0, max = 210) int held) {
    RevisionLog log = new RevisionLog(codec);
    for (int i = 1; i <= newest; i++) {
      log.add(revision(i), List.of(codec.encode(record(i))));
    }

    RevisionedConfig known = revision(held);
    RevisionedConfig next = log.read(log.after(held), known).orElseThrow();

    RevisionedConfig expected = held < newest ? revision(newest) : known;
    assertThat(next.revision()).isEqualTo(expected.revision());
    assertThat(ConfigDelta.sameContent(next.config(), expected.config())).isTrue();
  }

  @Property(tries = 30, seed = "7")
  void shouldNotApplyRecordsToARevisionThatTheyDoNotFollow(
      @ForAll @IntRange(min = 1, max = 9) int held) {
    RevisionLog log = new RevisionLog(codec);
    for (int i = 1; i <= 10; i++) {
      log.add(revision(i), List.of(codec.encode(record(i))));
    }

    assertThat(log.read(log.after(0), revision(held))).isEmpty();
  }

  private static RevisionRecord record(int revision) {
    RevisionInfo info = new RevisionInfo(revision, "c" + revision, "operator", "", 0);
    ConfigDelta delta =
        ConfigDelta.between(revision(revision - 1).config(), revision(revision).config());
    return new RevisionRecord(info, true, delta);
  }

  private static RevisionedConfig revision(int revision) {
    return revision == 0
        ? RevisionedConfig.NONE
        : new RevisionedConfig(
            revision, TestConfigs.withServers("high-dam", revision % 4, revision));
  }
}
