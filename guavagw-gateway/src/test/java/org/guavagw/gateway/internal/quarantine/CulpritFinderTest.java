package org.guavagw.gateway.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.guavagw.gateway.internal.peers.CrashSuspect;
import org.junit.jupiter.api.Test;

class CulpritFinderTest {
  private final List<CrashSuspect> suspects = new ArrayList<>();

  @Test
  void shouldFindThePartThatAllEndsHaveInCommon() {
    suspect("s1", "p1", "shared", "bad", "x");
    suspect("s2", "p1", "shared", "bad", "x");
    suspect("s3", "p2", "shared", "bad", "y");

    assertThat(CulpritFinder.find(suspects, r -> false, "shared"::equals))
        .isEqualTo(new Culprits(Set.of(), Set.of("bad")));
  }

  @Test
  void shouldAccuseOneRequestAloneAndNotItsParts() {
    suspect("s1", "p1", "bad", "x");
    suspect("s2", "p1", "bad", "x");
    suspect("s3", "p1", "bad", "x");

    assertThat(find()).isEqualTo(new Culprits(Set.of("p1"), Set.of()));
  }

  @Test
  void shouldAccuseARequestUnderWhichTwoServersEndedIfNoOtherWaitedOnBoth() {
    suspect("s1", "p1");
    suspect("s1", "p2");
    suspect("s2", "p1");
    suspect("s2", "p3");

    assertThat(find()).isEqualTo(new Culprits(Set.of("p1"), Set.of()));
  }

  @Test
  void shouldNotTellTwoRequestsApartThatWaitedOnTheSameTwoServers() {
    for (String server : List.of("s1", "s2")) {
      suspect(server, "p1");
      suspect(server, "p2");
    }
    assertThat(find()).isEqualTo(new Culprits(Set.of(), Set.of()));

    assertThat(CulpritFinder.find(suspects, "p2"::equals, part -> false))
        .isEqualTo(new Culprits(Set.of("p1"), Set.of()));
  }

  @Test
  void shouldAccuseBothRequestsThatWaitedOnTheSameThreeServers() {
    for (String server : List.of("s1", "s2", "s3")) {
      suspect(server, "p1");
      suspect(server, "p2");
    }

    assertThat(find()).isEqualTo(new Culprits(Set.of("p1", "p2"), Set.of()));
  }

  @Test
  void shouldAccuseTheRequestThatEndedAThirdServerAndNotWhatWaitedBesideIt() {
    for (String server : List.of("s1", "s2", "s3")) {
      suspect(server, "p1", "subject");
    }
    suspect("s1", "p2", "subject");
    suspect("s2", "p2", "subject");

    assertThat(find()).isEqualTo(new Culprits(Set.of("p1"), Set.of()));
  }

  @Test
  void shouldNotAccuseBystandersOfEndsThatAnotherPartExplains() {
    for (int i = 1; i <= 5; i++) {
      suspect("s" + i, "p" + i, "bad");
      suspect("s" + i, "q" + i, "bystander");
    }
    suspect("s6", "p6", "bad");

    assertThat(find()).isEqualTo(new Culprits(Set.of(), Set.of("bad")));
  }

  @Test
  void shouldFindTwoPartsThatEndDifferentServers() {
    for (int i = 1; i <= 3; i++) {
      suspect("s" + i, "p" + i, "bad1");
      suspect("t" + i, "q" + i, "bad2");
    }

    assertThat(find()).isEqualTo(new Culprits(Set.of(), Set.of("bad1", "bad2")));
  }

  @Test
  void shouldAccuseTheLaterOfTwoPartsThatWereAlwaysTogether() {
    for (int i = 1; i <= 3; i++) {
      suspect("s" + i, "p" + i, "shared", "bad");
    }

    assertThat(find()).isEqualTo(new Culprits(Set.of(), Set.of("bad")));
  }

  private Culprits find() {
    return CulpritFinder.find(suspects, request -> false, part -> false);
  }

  private void suspect(String server, String request, String... parts) {
    suspects.add(new CrashSuspect(server, request, List.of(parts)));
  }
}
