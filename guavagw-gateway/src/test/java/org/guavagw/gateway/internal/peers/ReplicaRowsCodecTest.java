package org.guavagw.gateway.internal.peers;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.zip.DeflaterOutputStream;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.spi.StoredRow;
import org.junit.jupiter.api.Test;

class ReplicaRowsCodecTest {
  private static final StoredRow ROW =
      new StoredRow("config", "0123456789".repeat(2000).getBytes(UTF_8), 6, false);
  private static final ReplicaRows ROWS =
      new ReplicaRows(List.of(new TableUpdate("orders", 7, true, List.of(ROW))), List.of(ROW));

  private final ReplicaRowsCodec codec = new ReplicaRowsCodec();

  @Test
  void shouldRestoreRowsFromFewerBytes() throws IOException {
    byte[] compressed = codec.compress(ROWS);

    assertThat(compressed.length).isLessThan(ROW.value().length / 10);
    assertThat(codec.decompress(compressed)).usingRecursiveComparison().isEqualTo(ROWS);
  }

  @Test
  void shouldRefuseBytesThatTakeMoreThanTheLimitWhenTheyAreRestored() throws IOException {
    byte[] compressed = deflate(new byte[64 * ReplicaRowsCodec.MAX_BYTES]);

    assertThatIOException()
        .isThrownBy(() -> codec.decompress(compressed))
        .withMessageContaining("more than");
  }

  @Test
  void shouldRefuseBytesThatAreCutShort() {
    byte[] compressed = codec.compress(ROWS);
    byte[] half = Arrays.copyOf(compressed, compressed.length / 2);

    assertThatIOException().isThrownBy(() -> codec.decompress(half));
  }

  @Test
  void shouldRefuseBytesThatAreNotCompressed() {
    assertThatIOException().isThrownBy(() -> codec.decompress(new byte[] {1, 2, 3}));
    assertThatIOException().isThrownBy(() -> codec.decompress(new byte[0]));
  }

  @Test
  void shouldRefuseCompressedBytesThatAreNoRows() throws IOException {
    byte[] nil = {(byte) 0xc0};
    byte[] endlessArray = {(byte) 0xdd, 0x7f, -1, -1, -1};
    byte[] nested = new byte[100_000];
    Arrays.fill(nested, (byte) 0x91);

    for (byte[] content : List.of(nil, endlessArray, nested, new byte[] {1}, new byte[0])) {
      byte[] compressed = deflate(content);
      assertThatIOException().isThrownBy(() -> codec.decompress(compressed));
    }
  }

  private static byte[] deflate(byte[] content) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
      out.write(content);
    }
    return bytes.toByteArray();
  }
}
