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
 * Keeps pins in the table service, with a cache in front.
 *
 * <p>A pin is inserted if absent, and the row that stands wins. While a model's choice of version
 * can differ between entries, because a rollout moves it, the row is written before the request
 * runs; otherwise it follows in a batch. While the table service is away no configuration can
 * change, so every entry makes the same choice for a new session; for one that began earlier, while
 * a rollout moves the model, other entries are asked what they remember, and where none of them
 * does the lookup says that nothing is known. Thread-safe.
 */
public final class TableSessionPins implements SessionPins {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String TABLE = "session_pin";
  private static final int MAX_CACHED = 200_000;
  private static final int MAX_WAITING = 50_000;
  private static final int PINS_PER_TRANSACTION = 25;
  private static final Duration IDLE_TIMEOUT = Duration.ofHours(2);

  private final TableService table;
  private final Predicate<String> isMoving;
  private final PinPeers peers;
  private final Ticker monotonic;
  private final Cache<SessionKey, String> cache =
      Caffeine.newBuilder().maximumSize(MAX_CACHED).expireAfterAccess(IDLE_TIMEOUT).build();
  private final BlockingQueue<Pin> waiting = new LinkedBlockingQueue<>(MAX_WAITING);
  private final AtomicLong storeAwayUntilNanos;

  /** A pin that is to be written; immutable. */
  private record Pin(SessionKey key, String version) {}

  /**
   * Creates pins over a table service.
   *
   * @param isMoving whether a rollout of the model is under way
   * @param peers asked where the table service is away
   */
  public TableSessionPins(
      TableService table, Predicate<String> isMoving, PinPeers peers, Ticker monotonic) {
    this.table = table;
    this.isMoving = isMoving;
    this.peers = peers;
    this.monotonic = monotonic;
    this.storeAwayUntilNanos = new AtomicLong(monotonic.read());
  }

  @Override
  public PinLookup find(String team, String sessionId, String model) {
    SessionKey key = new SessionKey(team, sessionId, model);
    String cached = cache.getIfPresent(key);
    if (cached != null) {
      return PinLookup.of(cached);
    }
    Optional<String> known = readRow(key).map(TableSessionPins::versionOf);
    boolean moving = isMoving.test(model);
    if (known.isEmpty() && !isStoreThere() && moving) {
      known = peers.find(key);
    }
    if (known.isEmpty()) {
      return moving && !isStoreThere() ? PinLookup.UNKNOWN : PinLookup.NONE;
    }
    cache.put(key, known.get());
    return PinLookup.of(known.get());
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
    String kept =
        isMoving.test(version.model()) ? insertNow(key, version) : insertLater(key, version);
    cache.put(key, kept);
    return new VersionRef(version.model(), kept);
  }

  /** What this entry remembers of a session; never blocks. */
  public Optional<String> remembered(SessionKey key) {
    return Optional.ofNullable(cache.getIfPresent(key));
  }

  /** Writes pins that wait; called again and again by a background thread. */
  public void flush() {
    List<Pin> batch = new ArrayList<>();
    while (isStoreThere() && waiting.drainTo(batch, PINS_PER_TRANSACTION) > 0) {
      insertAll(batch);
      batch.clear();
    }
  }

  /** Pins that wait to be written. */
  public int waitingCount() {
    return waiting.size();
  }

  private String insertNow(SessionKey key, VersionRef version) {
    if (!isStoreThere()) {
      return insertLater(key, version);
    }
    Either<PlatformFailure, CommitResult> result =
        table.commit(insertion(List.of(new Pin(key, version.version()))));
    if (result.isRight() && result.get() instanceof CommitResult.Committed) {
      return version.version();
    }
    result.peekLeft(this::noteFailure);
    return readRow(key).map(TableSessionPins::versionOf).orElse(version.version());
  }

  private String insertLater(SessionKey key, VersionRef version) {
    boolean queued = waiting.offer(new Pin(key, version.version()));
    if (!queued) {
      logger.atWarning().log("too many session pins wait; one is kept in memory only");
    }
    return version.version();
  }

  private void insertAll(List<Pin> pins) {
    Either<PlatformFailure, CommitResult> result = table.commit(insertion(pins));
    if (result.isLeft()) {
      noteFailure(result.getLeft());
      pins.forEach(waiting::offer);
      return;
    }
    if (result.get() instanceof CommitResult.Conflict conflict) {
      pins.forEach(p -> settleConflict(p, conflict.keys().contains(rowKey(p.key()))));
    }
  }

  private void settleConflict(Pin pin, boolean conflicted) {
    if (!conflicted) {
      waiting.offer(pin);
      return;
    }
    readRow(pin.key()).map(TableSessionPins::versionOf).ifPresent(v -> cache.put(pin.key(), v));
  }

  private void overwrite(SessionKey key, String version) {
    Mutation put = new Mutation.Put(rowKey(key), version.getBytes(StandardCharsets.UTF_8));
    table.commit(new Transaction(List.of(), List.of(put))).peekLeft(this::noteFailure);
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
    if (!isStoreThere()) {
      return Optional.empty();
    }
    Either<PlatformFailure, Optional<Row>> read = table.read(rowKey(key));
    read.peekLeft(this::noteFailure);
    return read.getOrElse(Optional.empty());
  }

  private boolean isStoreThere() {
    return storeAwayUntilNanos.get() - monotonic.read() <= 0;
  }

  private void noteFailure(PlatformFailure failure) {
    storeAwayUntilNanos.set(monotonic.read() + LOOKUP_RETRY.toNanos());
    logger.atInfo().log("session pins wait for the table service: %s", failure);
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
