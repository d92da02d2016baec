package org.guavagw.internal.session;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.google.common.base.Ticker;
import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.guavagw.config.VersionRef;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Stores pins in the table service and caches them.
 *
 * <p>A pin is inserted if absent; an existing row wins. During a rollout of the model, entries may
 * choose different versions, so the row is written before the request runs; otherwise it is written
 * later in a batch. While the table service is unavailable, the configuration cannot change, so all
 * entries choose the same version for a new session. For a session that may have started earlier,
 * during a rollout of the model, other entries are queried; if none of them has a pin, the result
 * is unknown. Thread-safe.
 */
public final class TableSessionPins implements SessionPins {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String TABLE = "session_pin";
  private static final int MAX_CACHED = 200_000;
  private static final int MAX_PENDING = 50_000;
  private static final int PINS_PER_TRANSACTION = 25;
  private static final Duration IDLE_TIMEOUT = Duration.ofHours(2);

  private final TableService table;
  private final Predicate<String> isInRollout;
  private final PeerPinLookup peers;
  private final Ticker monotonic;
  private final Cache<SessionKey, String> cache =
      Caffeine.newBuilder().maximumSize(MAX_CACHED).expireAfterAccess(IDLE_TIMEOUT).build();
  private final BlockingQueue<Pin> pending = new LinkedBlockingQueue<>(MAX_PENDING);
  private final AtomicLong storeUnavailableUntilNanos;

  /** A pin to be written. Immutable. */
  private record Pin(SessionKey key, String version) {}

  /**
   * Creates pins that are stored in a table service.
   *
   * @param isInRollout returns whether a rollout of the model is in progress
   * @param peers queried while the table service is unavailable
   */
  public TableSessionPins(
      TableService table, Predicate<String> isInRollout, PeerPinLookup peers, Ticker monotonic) {
    this.table = table;
    this.isInRollout = isInRollout;
    this.peers = peers;
    this.monotonic = monotonic;
    this.storeUnavailableUntilNanos = new AtomicLong(monotonic.read());
  }

  @Override
  public PinLookupResult find(String team, String sessionId, String model) {
    SessionKey key = new SessionKey(team, sessionId, model);
    String cached = cache.getIfPresent(key);
    if (cached != null) {
      return PinLookupResult.of(cached);
    }
    Optional<String> version = readRow(key).map(TableSessionPins::versionOf);
    boolean inRollout = isInRollout.test(model);
    if (version.isEmpty() && !isStoreAvailable() && inRollout) {
      version = peers.lookUp(key);
    }
    if (version.isEmpty()) {
      return inRollout && !isStoreAvailable() ? PinLookupResult.UNKNOWN : PinLookupResult.NONE;
    }
    cache.put(key, version.get());
    return PinLookupResult.of(version.get());
  }

  @Override
  public VersionRef pin(String team, String sessionId, VersionRef version, boolean replace) {
    SessionKey key = new SessionKey(team, sessionId, version.model());
    if (replace) {
      cache.put(key, version.version());
      overwrite(key, version.version());
      return version;
    }
    String cached = cache.getIfPresent(key);
    if (cached != null) {
      return new VersionRef(version.model(), cached);
    }
    String pinned =
        isInRollout.test(version.model()) ? insertNow(key, version) : insertLater(key, version);
    cache.put(key, pinned);
    return new VersionRef(version.model(), pinned);
  }

  /** Returns the version that this entry has cached for a session. Never blocks. */
  public Optional<String> cachedVersion(SessionKey key) {
    return Optional.ofNullable(cache.getIfPresent(key));
  }

  /** Writes the pending pins. Called periodically by a background thread. */
  public void flush() {
    List<Pin> batch = new ArrayList<>();
    while (isStoreAvailable() && pending.drainTo(batch, PINS_PER_TRANSACTION) > 0) {
      insertAll(batch);
      batch.clear();
    }
  }

  /** Returns the number of pins to be written. */
  public int pendingCount() {
    return pending.size();
  }

  private String insertNow(SessionKey key, VersionRef version) {
    if (!isStoreAvailable()) {
      return insertLater(key, version);
    }
    Either<PlatformFailure, CommitResult> result =
        table.commit(insertion(List.of(new Pin(key, version.version()))));
    if (result.isRight() && result.get() instanceof CommitResult.Committed) {
      return version.version();
    }
    result.peekLeft(this::onStoreFailure);
    return readRow(key).map(TableSessionPins::versionOf).orElse(version.version());
  }

  private String insertLater(SessionKey key, VersionRef version) {
    boolean queued = pending.offer(new Pin(key, version.version()));
    if (!queued) {
      logger.atWarning().log(
          "too many session pins are waiting to be written; one is kept in memory only");
    }
    return version.version();
  }

  private void insertAll(List<Pin> pins) {
    Either<PlatformFailure, CommitResult> result = table.commit(insertion(pins));
    if (result.isLeft()) {
      onStoreFailure(result.getLeft());
      pins.forEach(pending::offer);
      return;
    }
    if (result.get() instanceof CommitResult.Conflict conflict) {
      pins.forEach(p -> resolveConflict(p, conflict.keys().contains(rowKey(p.key()))));
    }
  }

  private void resolveConflict(Pin pin, boolean conflicted) {
    if (!conflicted) {
      pending.offer(pin);
      return;
    }
    readRow(pin.key()).map(TableSessionPins::versionOf).ifPresent(v -> cache.put(pin.key(), v));
  }

  private void overwrite(SessionKey key, String version) {
    Mutation put = new Mutation.Put(rowKey(key), version.getBytes(StandardCharsets.UTF_8));
    table.commit(new Transaction(List.of(), List.of(put))).peekLeft(this::onStoreFailure);
  }

  private static Transaction insertion(List<Pin> pins) {
    List<Condition> conditions = new ArrayList<>();
    List<Mutation> mutations = new ArrayList<>();
    for (Pin pin : pins) {
      conditions.add(new Condition.Absent(rowKey(pin.key())));
      byte[] value = pin.version().getBytes(StandardCharsets.UTF_8);
      mutations.add(new Mutation.Put(rowKey(pin.key()), value));
    }
    return new Transaction(conditions, mutations);
  }

  private Optional<Row> readRow(SessionKey key) {
    if (!isStoreAvailable()) {
      return Optional.empty();
    }
    Either<PlatformFailure, Optional<Row>> read = table.read(rowKey(key));
    read.peekLeft(this::onStoreFailure);
    return read.getOrElse(Optional.empty());
  }

  private boolean isStoreAvailable() {
    return storeUnavailableUntilNanos.get() - monotonic.read() <= 0;
  }

  private void onStoreFailure(PlatformFailure failure) {
    storeUnavailableUntilNanos.set(monotonic.read() + LOOKUP_RETRY_DELAY.toNanos());
    logger.atInfo().log(
        "session pins are not written while the table service is unavailable: %s", failure);
  }

  private static String versionOf(Row row) {
    return new String(row.value(), StandardCharsets.UTF_8);
  }

  private static RowKey rowKey(SessionKey key) {
    String hash =
        Hashing.sha256()
            .newHasher()
            .putString(key.team(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(key.sessionId(), StandardCharsets.UTF_8)
            .hash()
            .toString();
    return new RowKey(TABLE, hash + '/' + key.model());
  }
}
