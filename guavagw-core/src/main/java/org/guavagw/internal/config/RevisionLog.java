package org.guavagw.internal.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.guavagw.config.GatewayConfig;
import org.guavagw.internal.config.ConfigMessage.Revisions;

/**
 * Keeps the last revisions in the form that is sent to peers. Confined to the control thread.
 *
 * <p>Invariant: the records have no gaps and end at the newest revision.
 */
final class RevisionLog {
  private static final int MAX_RECORDS = 128;
  private static final byte[] NO_SNAPSHOT = {};

  private final ConfigCodec codec;
  private final Deque<byte[]> records = new ArrayDeque<>();
  private RevisionedConfig newest = RevisionedConfig.NONE;
  private Optional<byte[]> snapshot = Optional.empty();

  RevisionLog(ConfigCodec codec) {
    this.codec = codec;
  }

  /** Adds a newer configuration and the compressed records that lead to it from the last one. */
  void add(RevisionedConfig config, List<byte[]> newRecords) {
    if (newest.revision() + newRecords.size() != config.revision()) {
      records.clear();
    } else {
      records.addAll(newRecords);
    }
    while (records.size() > MAX_RECORDS) {
      records.removeFirst();
    }
    newest = config;
    snapshot = Optional.empty();
  }

  /** Returns what a peer that holds the given revision is missing. */
  Revisions after(long revision) {
    long missing = newest.revision() - revision;
    if (missing <= 0) {
      return new Revisions(newest.revision(), NO_SNAPSHOT, List.of());
    }
    if (missing > records.size()) {
      return new Revisions(newest.revision(), snapshot(), List.of());
    }
    List<byte[]> missingRecords = records.stream().skip(records.size() - missing).toList();
    return new Revisions(newest.revision(), NO_SNAPSHOT, missingRecords);
  }

  private byte[] snapshot() {
    if (snapshot.isEmpty()) {
      snapshot = Optional.of(codec.encode(newest.config()));
    }
    return snapshot.get();
  }

  /** Decodes a peer's answer; empty if its records do not follow the known configuration. */
  Optional<RevisionedConfig> read(Revisions answer, RevisionedConfig known) {
    if (answer.snapshot().length > 0) {
      GatewayConfig config = codec.decode(answer.snapshot(), GatewayConfig.class);
      return Optional.of(new RevisionedConfig(answer.revision(), config));
    }
    List<RevisionRecord> decoded =
        answer.records().stream().map(r -> codec.decode(r, RevisionRecord.class)).toList();
    return RevisionRecord.applyAll(known, decoded);
  }
}
