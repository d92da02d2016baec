package org.guavagw.gateway.internal.peers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerMessagesTest {
  private final PeerCodec codec = new PeerCodec();

  @Test
  void shouldEncodeAndDecodeTableChanges() {
    byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
    TableUpdate update =
        new TableUpdate("orders", 7, true, List.of(new StoredRow("config", value, 6, false)));
    ReplicaAnswer answer =
        new ReplicaAnswer(3, -5_000_000_000L, 12, true, List.of(update), update.rows());

    ReplicaAnswer decoded = codec.decode(codec.encode(answer), ReplicaAnswer.class);

    assertThat(decoded).usingRecursiveComparison().isEqualTo(answer);
  }

  @Test
  void shouldEncodeAndDecodeCompressedTableChanges() {
    ReplicaAnswer answer = new ReplicaAnswer(3, -5, 12, true, List.of(), List.of());
    CompressedReplicaAnswer compressed = CompressedReplicaAnswer.of(answer, new byte[] {1, 2});

    byte[] encoded = codec.encode(compressed);

    assertThat(HexFormat.of().formatHex(encoded)).isEqualTo("929603fb0cc39090c4020102");
    assertThat(codec.decode(encoded, CompressedReplicaAnswer.class))
        .usingRecursiveComparison()
        .isEqualTo(compressed);
  }

  @ParameterizedTest
  @ValueSource(strings = {"90", "92c0c4020102", "929603fb0cc39090c0"})
  void shouldNotDecodeACompressedAnswerThatLacksAPart(String bytes) {
    byte[] encoded = HexFormat.of().parseHex(bytes);

    assertThatThrownBy(() -> codec.decode(encoded, CompressedReplicaAnswer.class))
        .isInstanceOf(UncheckedIOException.class);
  }

  @Test
  void shouldEncodeAndDecodeDemand() {
    Map<String, ServiceDemand> demand =
        Map.of("s", new ServiceDemand(3, 2.5, Map.of(ServiceDemand.key(0, "a:b"), 4.5)));
    DemandReport report = new DemandReport("dc1", demand);
    DemandSummary summary = new DemandSummary(demand);

    assertThat(codec.decode(codec.encode(report), DemandReport.class)).isEqualTo(report);
    assertThat(codec.decode(codec.encode(summary), DemandSummary.class)).isEqualTo(summary);
  }

  @Test
  void shouldEncodeAndDecodeTableVersions() {
    ReplicaQuery query = new ReplicaQuery(-1, Map.of("orders", 1L, "servers", 1L << 40));

    assertThat(codec.decode(codec.encode(query), ReplicaQuery.class)).isEqualTo(query);
  }

  @Test
  void shouldEncodeAndDecodeWorkReportsAndRejections() {
    QuarantineNotices quarantine =
        new QuarantineNotices(
            Set.of(new CrashSuspect("w3", "f1", List.of("a", "b"))),
            Set.of("f2"),
            Set.of("a"),
            Map.of("f3", 540),
            Set.of("b"));
    ServerWork work =
        new ServerWork(
            Map.of("w1", new ServerWork.Work(2, 3.5)),
            new ServerNotices(
                Set.of("w2"), Map.of("w4", 1.5), Map.of("w5", 3.0), Set.of("w5"), quarantine));
    WorkReport report = new WorkReport(work);
    DataCentreWork dataCentreWork = new DataCentreWork("dc1", work);
    WorkSummary summary = new WorkSummary(work);
    RolloutRejection rejection = new RolloutRejection("engine", 9);

    assertThat(codec.decode(codec.encode(report), WorkReport.class)).isEqualTo(report);
    assertThat(codec.decode(codec.encode(dataCentreWork), DataCentreWork.class))
        .isEqualTo(dataCentreWork);
    assertThat(codec.decode(codec.encode(summary), WorkSummary.class)).isEqualTo(summary);
    assertThat(codec.decode(codec.encode(rejection), RolloutRejection.class)).isEqualTo(rejection);
    MeasurementReport measured =
        new MeasurementReport(
            MeasurementReport.Scope.DATA_CENTRE,
            "dc1",
            new Measurements(
                Map.of("w1", new SampleSum(3, -0.5)), Map.of("m", PrefillSums.of(800, 40, 0.5))));
    assertThat(codec.decode(codec.encode(measured), MeasurementReport.class)).isEqualTo(measured);
    SessionReport sessions = new SessionReport("v1", Set.of("s1", "s2"));
    assertThat(codec.decode(codec.encode(sessions), SessionReport.class)).isEqualTo(sessions);
  }
}
