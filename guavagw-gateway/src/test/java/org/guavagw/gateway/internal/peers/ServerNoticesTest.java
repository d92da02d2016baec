package org.guavagw.gateway.internal.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.assertj.core.data.Percentage;
import org.guavagw.internal.peer.PeerCodec;
import org.junit.jupiter.api.Test;

class ServerNoticesTest {
  private static final CrashSuspect OLD = new CrashSuspect("w1", "f1", List.of("a"));
  private static final CrashSuspect NEW = new CrashSuspect("w2", "f2", List.of("b"));

  private static final ServerNotices KNOWN =
      notices(Set.of("w3"), Map.of("w3", 1.0), quarantine(Set.of(OLD)));

  private static final ServerNotices ALL =
      notices(Set.of("w3", "w4"), Map.of("w3", 1.0, "w4", 2.0), quarantine(Set.of(OLD, NEW)));

  private final PeerCodec codec = new PeerCodec();

  @Test
  void shouldSelectNewUrgentNoticesWithWhatBelongsToThem() {
    ServerNotices urgent = ALL.urgentSince(KNOWN);

    assertThat(urgent)
        .isEqualTo(
            new ServerNotices(
                Set.of(),
                Map.of(),
                Map.of("w4", 2.0),
                Set.of("w4"),
                new QuarantineNotices(
                    Set.of(NEW), Set.of("f2"), Set.of("b"), Map.of("f2", 540), Set.of("b"))));
  }

  @Test
  void shouldSelectNothingThatIsKnown() {
    assertThat(ALL.urgentSince(ALL)).isEqualTo(ServerNotices.NONE);
  }

  @Test
  void shouldEstimateItsSizeInAMessage() {
    assertThat(ALL.approximateBytes())
        .isCloseTo(codec.encode(ALL).length, Percentage.withPercentage(25));
  }

  private static ServerNotices notices(
      Set<String> full, Map<String, Double> brittle, QuarantineNotices quarantine) {
    return new ServerNotices(Set.of("w5"), Map.of("w6", 1.5), brittle, full, quarantine);
  }

  private static QuarantineNotices quarantine(Set<CrashSuspect> suspects) {
    return new QuarantineNotices(
        suspects,
        Set.of("f1", "f2"),
        Set.of("a", "b"),
        Map.of("f1", 540, "f2", 540),
        Set.of("a", "b"));
  }
}
