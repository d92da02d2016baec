package org.guavagw.gateway.internal.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerCodec;
import org.guavagw.internal.peer.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Messages as the build of 7d62633 writes and reads them; a deployment may run both builds. */
class EarlierBuildMessagesTest {
  private static final StoredRow ROW = new StoredRow("config", new byte[] {1, 2}, 6, false);
  private static final String ROW_BYTES = "94a6636f6e666967c402010206c2";

  private static final QuarantineNotices QUARANTINE =
      new QuarantineNotices(
          Set.of(new CrashSuspect("w3", "f1", List.of("a", "b"))),
          Set.of("f2"),
          Set.of("a"),
          Map.of("f3", 540),
          Set.of("b"));

  private static final ServerWork WORK =
      new ServerWork(
          Map.of("w1", new ServerWork.Work(2, 3.5)),
          new ServerNotices(
              Set.of("w2"), Map.of("w4", 1.5), Map.of("w5", 3.0), Set.of("w5"), QUARANTINE));

  private static final String WORK_BYTES =
      "9281a277319202cb400c0000000000009591a2773281a27734cb3ff8000000000000"
          + "81a27735cb400800000000000091a27735959193a27733a2663192a161a16291a2663291a161"
          + "81a26633cd021c91a162";

  private static final RouteTally TALLY =
      new RouteTally(new RouteTally.Answers(1, 2, 3, 4, 5, 6, 7), RouteTally.Answers.NONE);

  private final PeerCodec codec = new PeerCodec();

  static Stream<Arguments> messages() {
    return Stream.of(
        Arguments.of(new WorkReport(WORK), "91" + WORK_BYTES),
        Arguments.of(new DataCentreWork("dc1", WORK), "92a3646331" + WORK_BYTES),
        Arguments.of(new WorkSummary(WORK), "91" + WORK_BYTES),
        Arguments.of(
            new EvidenceReport("s", 3, Map.of("r", TALLY)),
            "93a1730381a1729297010203040506079700000000000000"),
        Arguments.of(new RolloutRejection("engine", 9), "92a6656e67696e6509"),
        Arguments.of(new SessionReport("v1", Set.of("s1")), "92a2763191a27331"),
        Arguments.of(new ReplicaQuery(-1, Map.of("orders", 1L)), "92ff81a66f726465727301"),
        Arguments.of(
            new ReplicaAnswer(
                3,
                -5,
                12,
                true,
                List.of(new TableUpdate("orders", 7, true, List.of(ROW))),
                List.of(ROW)),
            "9603fb0cc39194a66f726465727307c391" + ROW_BYTES + "91" + ROW_BYTES),
        Arguments.of(new ConfigQuery(7), "9107"),
        Arguments.of(new ConfigAnswer(List.of(ROW)), "9191" + ROW_BYTES));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void shouldWriteAndReadWhatTheEarlierBuildDoes(PeerMessage message, String bytes) {
    assertThat(HexFormat.of().formatHex(codec.encode(message))).isEqualTo(bytes);
    assertThat(codec.decode(HexFormat.of().parseHex(bytes), message.getClass()))
        .usingRecursiveComparison()
        .isEqualTo(message);
  }

  @Test
  void shouldAcceptNoCompressedRowsInTheQueryOfTheEarlierBuild() {
    byte[] bytes = HexFormat.of().parseHex("92ff81a66f726465727301");

    assertThat(codec.decode(bytes, ReplicaQuery.class).acceptsCompressed()).isFalse();
  }

  @Test
  void shouldSendAQueryOfWhichTheEarlierBuildReadsTheSameVersions() {
    ReplicaQuery query = new ReplicaQuery(7, Map.of("orders", 1L)).acceptingCompressed();

    EarlierReplicaQuery read = codec.decode(codec.encode(query), EarlierReplicaQuery.class);

    assertThat(read.era()).isEqualTo(7);
    assertThat(read.versionOf("orders")).isEqualTo(1);
    assertThat(read.versionOf("servers")).isZero();
    assertThat(codec.decode(codec.encode(query), ReplicaQuery.class).acceptsCompressed()).isTrue();
  }

  /** The query as the earlier build has it. */
  private record EarlierReplicaQuery(long era, Map<String, Long> versions) {
    long versionOf(String table) {
      return versions.getOrDefault(table, 0L);
    }
  }
}
