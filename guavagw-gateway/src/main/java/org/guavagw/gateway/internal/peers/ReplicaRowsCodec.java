package org.guavagw.gateway.internal.peers;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Compresses rows and restores them. Thread-safe.
 *
 * <p>Never restores more than {@link #MAX_BYTES}, whatever the compressed bytes are.
 */
public final class ReplicaRowsCodec {
  /** Longest content, several times that of the longest frame between entries. */
  public static final int MAX_BYTES = 4 * 1024 * 1024;

  private final PeerCodec codec = new PeerCodec();

  /** Returns the compressed form of rows that take at most {@link #MAX_BYTES}. */
  public byte[] compress(ReplicaRows rows) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (OutputStream out = new DeflaterOutputStream(compressed, deflater)) {
      out.write(codec.encode(rows));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      deflater.end();
    }
    return compressed.toByteArray();
  }

  /**
   * Returns the rows of which {@link #compress} made the bytes.
   *
   * @throws IOException if they are unreadable or take more than {@link #MAX_BYTES}
   */
  ReplicaRows decompress(byte[] compressed) throws IOException {
    try {
      ReplicaRows rows = codec.decode(inflate(compressed), ReplicaRows.class);
      if (rows == null) {
        throw new IOException("no rows");
      }
      return rows;
    } catch (RuntimeException e) {
      throw new IOException("the rows cannot be decoded", e);
    }
  }

  private static byte[] inflate(byte[] compressed) throws IOException {
    try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      byte[] content = in.readNBytes(MAX_BYTES + 1);
      if (content.length > MAX_BYTES) {
        throw new IOException("the rows take more than " + MAX_BYTES + " bytes");
      }
      return content;
    }
  }
}
