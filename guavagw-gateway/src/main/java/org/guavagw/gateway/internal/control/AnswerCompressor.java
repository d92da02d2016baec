package org.guavagw.gateway.internal.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.gateway.internal.peers.CompressedReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.internal.peers.ReplicaRows;
import org.guavagw.gateway.internal.peers.ReplicaRowsCodec;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Compresses the rows of long answers, once for all followers that get the same rows. Confined to
 * the control thread.
 */
final class AnswerCompressor {
  /** Rows that take fewer bytes fit into few packets as they are. */
  static final int MIN_BYTES = 1024;

  /** Followers lack the changes since their last answer, of which there are few at a time. */
  private static final int MAX_KEPT = 4;

  private final ReplicaRowsCodec codec = new ReplicaRowsCodec();
  private final Map<List<Object>, byte[]> compressedByContent = new LinkedHashMap<>();

  /** Returns an answer in the form in which a follower that accepts compressed rows gets it. */
  PeerMessage compress(ReplicaAnswer answer) {
    ReplicaRows rows = ReplicaRows.of(answer);
    long bytes = rows.approximateBytes();
    if (bytes < MIN_BYTES || bytes > ReplicaRowsCodec.MAX_BYTES) {
      return answer;
    }
    return CompressedReplicaAnswer.of(answer, compressed(contentOf(answer), rows));
  }

  private byte[] compressed(List<Object> content, ReplicaRows rows) {
    byte[] known = compressedByContent.get(content);
    if (known != null) {
      return known;
    }
    if (compressedByContent.size() >= MAX_KEPT) {
      compressedByContent.remove(compressedByContent.keySet().iterator().next());
    }
    byte[] compressed = codec.compress(rows);
    compressedByContent.put(content, compressed);
    return compressed;
  }

  /** Returns what identifies the rows of an answer; the same array has the same content. */
  private static List<Object> contentOf(ReplicaAnswer answer) {
    List<Object> content = new ArrayList<>();
    for (TableUpdate table : answer.tables()) {
      content.add(table.version());
      content.add(table.whole());
      content.add(table.rows().size());
      table.rows().forEach(row -> addTo(content, row));
    }
    answer.newerConfig().forEach(row -> addTo(content, row));
    return content;
  }

  private static void addTo(List<Object> content, StoredRow row) {
    content.add(row.key());
    content.add(row.version());
    content.add(row.removed());
    content.add(row.value());
  }
}
