package org.guavagw.internal.config;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Bytes;
import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.guavagw.config.GatewayConfig;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Stores the configuration history in the table service.
 *
 * <p>Invariants: a change is accepted in one transaction that replaces the head row that was read,
 * so revisions have no gaps and no two changes share one; the newest checkpoint plus the deltas
 * after it yield the newest configuration. Thread-safe.
 */
public final class TableConfigHistory implements ConfigHistory, ConfigFeed {
  private static final long CHECKPOINT_INTERVAL_REVISIONS = 64;

  private final TableService tables;
  private final InstantSource clock;
  private final ConfigCodec codec = new ConfigCodec();

  public TableConfigHistory(TableService tables, InstantSource clock) {
    this.tables = tables;
    this.clock = clock;
  }

  @Override
  public Either<ConfigFailure, RevisionedConfig> latest() {
    return latestFrom(RevisionedConfig.NONE);
  }

  /** Returns the newest configuration, reading only the revisions after the known one. */
  public Either<ConfigFailure, RevisionedConfig> latestFrom(RevisionedConfig known) {
    return since(known).map(ConfigUpdate::config);
  }

  @Override
  public Either<ConfigFailure, ConfigUpdate> since(RevisionedConfig known) {
    return readHead().flatMap(h -> load(h.record(), known));
  }

  @Override
  public Either<ConfigFailure, RevisionedConfig> apply(ConfigChange change) {
    return accepted(change)
        .flatMap(
            earlier ->
                earlier
                    .map(a -> resultOfEarlier(change, a))
                    .orElseGet(() -> readHead().flatMap(h -> applyOn(h, change))));
  }

  private Either<ConfigFailure, RevisionedConfig> resultOfEarlier(
      ConfigChange change, AcceptedChange accepted) {
    boolean isSameConfig = accepted.contentHash().equals(contentHash(change));
    return isSameConfig
        ? Either.right(new RevisionedConfig(accepted.revision(), change.config()))
        : Either.left(new ConfigFailure.Conflict(accepted.revision()));
  }

  private Either<ConfigFailure, RevisionedConfig> applyOn(Head head, ConfigChange change) {
    if (head.record().revision() != change.expectedRevision()) {
      return afterConflict(change, head.record().revision());
    }
    return load(head.record(), RevisionedConfig.NONE)
        .flatMap(before -> commit(change, head, before.config()));
  }

  private Either<ConfigFailure, RevisionedConfig> commit(
      ConfigChange change, Head head, RevisionedConfig before) {
    long revision = before.revision() + 1;
    Transaction transaction = transaction(change, head, before, revision);
    Either<PlatformFailure, CommitResult> result = tables.commit(transaction);
    if (result.isLeft()) {
      return afterFailure(change, result.getLeft());
    }
    if (result.get() instanceof CommitResult.Conflict) {
      return readHead().flatMap(h -> afterConflict(change, h.record().revision()));
    }
    return Either.right(new RevisionedConfig(revision, change.config()));
  }

  private Transaction transaction(
      ConfigChange change, Head head, RevisionedConfig before, long revision) {
    RevisionInfo info =
        new RevisionInfo(
            revision, change.changeId(), change.author(), change.comment(), clock.millis());
    RevisionRecord record = record(info, before, change);
    List<Mutation> mutations = new ArrayList<>();
    HeadRecord next = head.record().withRevision(revision);
    if (needsCheckpoint(head.record(), record)) {
      mutations.addAll(ConfigRows.chunks(revision, codec.encode(change.config())));
      next = new HeadRecord(revision, revision, mutations.size());
    }
    mutations.add(new Mutation.Put(ConfigRows.HEAD, codec.encode(next)));
    mutations.add(new Mutation.Put(ConfigRows.revision(revision), codec.encode(record)));
    mutations.add(
        new Mutation.Put(ConfigRows.change(change.changeId()), acceptance(change, revision)));
    return new Transaction(conditions(change, head, revision), mutations);
  }

  private RevisionRecord record(RevisionInfo info, RevisionedConfig before, ConfigChange change) {
    ConfigDelta delta = ConfigDelta.between(before.config(), change.config());
    RevisionRecord record = new RevisionRecord(info, true, delta);
    boolean exact = ConfigDelta.sameContent(delta.applyTo(before.config()), change.config());
    boolean fits = codec.encode(record).length <= ConfigRows.MAX_ROW_BYTES;
    return exact && fits ? record : RevisionRecord.withoutDelta(info);
  }

  private static boolean needsCheckpoint(HeadRecord head, RevisionRecord record) {
    return !record.hasDelta()
        || head.checkpoint() == 0
        || record.entry().revision() - head.checkpoint() >= CHECKPOINT_INTERVAL_REVISIONS;
  }

  private byte[] acceptance(ConfigChange change, long revision) {
    return codec.encode(new AcceptedChange(revision, contentHash(change)));
  }

  private String contentHash(ConfigChange change) {
    return Hashing.sha256().hashBytes(codec.encode(change.config())).toString();
  }

  private static List<Condition> conditions(ConfigChange change, Head head, long revision) {
    Condition unchanged =
        head.row()
            .<Condition>map(r -> new Condition.VersionIs(r.key(), r.version()))
            .orElseGet(() -> new Condition.Absent(ConfigRows.HEAD));
    return List.of(
        unchanged,
        new Condition.Absent(ConfigRows.revision(revision)),
        new Condition.Absent(ConfigRows.change(change.changeId())));
  }

  private Either<ConfigFailure, RevisionedConfig> afterConflict(ConfigChange change, long current) {
    return accepted(change)
        .flatMap(
            earlier ->
                earlier
                    .map(a -> resultOfEarlier(change, a))
                    .orElseGet(() -> Either.left(new ConfigFailure.Conflict(current))));
  }

  private Either<ConfigFailure, RevisionedConfig> afterFailure(
      ConfigChange change, PlatformFailure failure) {
    if (failure.kind() == PlatformFailure.Kind.NOT_APPLIED) {
      return Either.left(unavailable(failure));
    }
    Either<ConfigFailure, Optional<AcceptedChange>> readBack = accepted(change);
    if (readBack.isLeft() || readBack.get().isEmpty()) {
      return Either.left(new ConfigFailure.OutcomeUnknown(change.changeId()));
    }
    return resultOfEarlier(change, readBack.get().get());
  }

  private Either<ConfigFailure, Optional<AcceptedChange>> accepted(ConfigChange change) {
    return read(ConfigRows.change(change.changeId()))
        .map(row -> row.map(r -> codec.decode(r.value(), AcceptedChange.class)));
  }

  @Override
  public Either<ConfigFailure, List<RevisionInfo>> history(int limit) {
    return readHead()
        .flatMap(h -> records(Math.max(0, h.record().revision() - limit), h.record().revision()))
        .map(records -> records.stream().map(RevisionRecord::entry).toList())
        .map(TableConfigHistory::reversed);
  }

  private static List<RevisionInfo> reversed(List<RevisionInfo> entries) {
    List<RevisionInfo> newestFirst = new ArrayList<>(entries);
    Collections.reverse(newestFirst);
    return newestFirst;
  }

  private Either<ConfigFailure, ConfigUpdate> load(HeadRecord head, RevisionedConfig known) {
    if (head.revision() < known.revision()) {
      return Either.left(
          new ConfigFailure.StoreUnavailable("the head row is older than the known revision"));
    }
    if (head.revision() == known.revision()) {
      return Either.right(new ConfigUpdate(known, List.of()));
    }
    if (known.revision() >= head.checkpoint()) {
      return extend(known, head.revision());
    }
    return checkpoint(head)
        .flatMap(c -> extend(c, head.revision()))
        .map(u -> new ConfigUpdate(u.config(), List.of()));
  }

  private Either<ConfigFailure, ConfigUpdate> extend(RevisionedConfig from, long to) {
    if (from.revision() == to) {
      return Either.right(new ConfigUpdate(from, List.of()));
    }
    return records(from.revision(), to)
        .flatMap(
            records ->
                RevisionRecord.applyAll(from, records)
                    .filter(c -> c.revision() == to)
                    .<Either<ConfigFailure, ConfigUpdate>>map(
                        c -> Either.right(new ConfigUpdate(c, records)))
                    .orElseGet(() -> Either.left(incompleteRead())));
  }

  private Either<ConfigFailure, RevisionedConfig> checkpoint(HeadRecord head) {
    int chunks = head.checkpointChunks();
    return range(
            ConfigRows.CHECKPOINTS,
            ConfigRows.chunkKey(head.checkpoint(), 0),
            ConfigRows.chunkKey(head.checkpoint(), chunks),
            chunks)
        .flatMap(
            rows -> {
              if (rows.size() != chunks) {
                return Either.left(incompleteRead());
              }
              byte[] content = Bytes.concat(rows.stream().map(Row::value).toArray(byte[][]::new));
              return Either.right(
                  new RevisionedConfig(
                      head.checkpoint(), codec.decode(content, GatewayConfig.class)));
            });
  }

  private Either<ConfigFailure, List<RevisionRecord>> records(long after, long to) {
    return range(
            ConfigRows.REVISIONS,
            ConfigRows.revisionKey(after + 1),
            ConfigRows.revisionKey(to + 1),
            (int) (to - after))
        .map(
            rows -> rows.stream().map(r -> codec.decode(r.value(), RevisionRecord.class)).toList());
  }

  private Either<ConfigFailure, Head> readHead() {
    return read(ConfigRows.HEAD)
        .map(
            row ->
                new Head(
                    row,
                    row.map(r -> codec.decode(r.value(), HeadRecord.class))
                        .orElse(HeadRecord.NONE)));
  }

  private Either<ConfigFailure, Optional<Row>> read(RowKey key) {
    return tables.read(key).mapLeft(TableConfigHistory::unavailable);
  }

  private Either<ConfigFailure, List<Row>> range(String table, String from, String to, int limit) {
    return tables.range(table, from, to, limit).mapLeft(TableConfigHistory::unavailable);
  }

  private static ConfigFailure incompleteRead() {
    return new ConfigFailure.StoreUnavailable("the table service returned only some of the rows");
  }

  private static ConfigFailure unavailable(PlatformFailure failure) {
    return new ConfigFailure.StoreUnavailable(failure.reason());
  }

  /** Content of the row of an accepted change id. Immutable. */
  private record AcceptedChange(long revision, String contentHash) {}

  /** The head row as it was read, if there is one, and its content. Immutable. */
  private record Head(Optional<Row> row, HeadRecord record) {}
}
