package org.guavagw.gateway.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.gateway.internal.peers.CrashSuspect;
import org.junit.jupiter.api.Test;

class CulpritFinderTest {
  private final List<CrashSuspect> suspects = new ArrayList<>();

  @Test
  void shouldFindThePartThatAllEndsHaveInCommon() {
    suspect("s1", "p1", "shared", "bad", "x");
    suspect("s2", "p1", "shared", "bad", "x");
    suspect("s3", "p2", "shared", "bad", "y");

    assertThat(CulpritFinder.find(suspects, "shared"::equals)).containsExactly("bad");
  }

  @Test
  void shouldNotAccuseThePartsOfOneRequestAlone() {
    suspect("s1", "p1", "bad", "x");
    suspect("s2", "p1", "bad", "x");
    suspect("s3", "p1", "bad", "x");

    assertThat(CulpritFinder.find(suspects, part -> false)).isEmpty();
  }

  @Test
  void shouldNotAccuseBystandersOfEndsThatAnotherPartExplains() {
    for (int i = 1; i <= 5; i++) {
      suspect("s" + i, "p" + i, "bad");
      suspect("s" + i, "q" + i, "bystander");
    }
    suspect("s6", "p6", "bad");

    assertThat(CulpritFinder.find(suspects, part -> false)).containsExactly("bad");
  }

  @Test
  void shouldFindTwoPartsThatEndDifferentServers() {
    for (int i = 1; i <= 3; i++) {
      suspect("s" + i, "p" + i, "bad1");
      suspect("t" + i, "q" + i, "bad2");
    }

    assertThat(CulpritFinder.find(suspects, part -> false))
        .containsExactlyInAnyOrder("bad1", "bad2");
  }

  @Test
  void shouldAccuseTheLaterOfTwoPartsThatWereAlwaysTogether() {
    for (int i = 1; i <= 3; i++) {
      suspect("s" + i, "p" + i, "shared", "bad");
    }

    assertThat(CulpritFinder.find(suspects, part -> false)).containsExactly("bad");
  }

  private void suspect(String server, String prompt, String... parts) {
    suspects.add(new CrashSuspect(server, prompt, List.of(parts)));
  }
}
