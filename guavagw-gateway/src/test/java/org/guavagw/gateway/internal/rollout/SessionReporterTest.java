package org.guavagw.gateway.internal.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.junit.jupiter.api.Test;

class SessionReporterTest {
  @Test
  void shouldReportSessionsToTheEntriesOfAllDataCentres() {
    Members members =
        new Members(
            "a1",
            List.of(
                new Member("a1", "a", "host", 1),
                new Member("a2", "a", "host", 2),
                new Member("b1", "b", "host", 3),
                new Member("b2", "b", "host", 4)));

    assertThat(SessionReporter.receivers(members)).containsExactlyInAnyOrder("a2", "b1", "b2");
  }
}
