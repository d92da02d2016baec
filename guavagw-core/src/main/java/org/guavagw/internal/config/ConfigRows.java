package org.guavagw.internal.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.RowKey;

/** Keys of the rows of the configuration history, and the chunks of a checkpoint. Stateless. */
final class ConfigRows {
  static final int MAX_ROW_BYTES = 32 * 1024;
  static final RowKey HEAD = new RowKey("config-head", "head");
  static final String REVISIONS = "config-revisions";
  static final String CHECKPOINTS = "config-checkpoints";
  private static final String CHANGES = "config-changes";

  private ConfigRows() {}

  static RowKey revision(long revision) {
    return new RowKey(REVISIONS, revisionKey(revision));
  }

  static RowKey change(String changeId) {
    return new RowKey(CHANGES, changeId);
  }

  static String revisionKey(long revision) {
    return String.format("%016d", revision);
  }

  static String chunkKey(long revision, int chunk) {
    return String.format("%016d/%06d", revision, chunk);
  }

  static List<Mutation> chunks(long revision, byte[] content) {
    List<Mutation> puts = new ArrayList<>();
    for (int from = 0; from < content.length; from += MAX_ROW_BYTES) {
      byte[] chunk =
          Arrays.copyOfRange(content, from, Math.min(content.length, from + MAX_ROW_BYTES));
      puts.add(new Mutation.Put(new RowKey(CHECKPOINTS, chunkKey(revision, puts.size())), chunk));
    }
    return puts;
  }
}
