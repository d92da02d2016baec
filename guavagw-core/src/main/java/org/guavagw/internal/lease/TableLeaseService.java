package org.guavagw.internal.lease;

import com.google.common.base.Ticker;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Stores leases as rows of the table service.
 *
 * <p>Clocks of different processes are never compared. The holder measures the duration from before
 * it sent its write and stops using the lease a safety margin before the end; another process
 * measures the full duration from after its first read of the row. Rows are never deleted, so
 * fencing numbers never decrease. Thread-safe: calls that write are serialised, {@link #held} never
 * blocks.
 */
public final class TableLeaseService implements LeaseService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;
  private static final String TABLE = "lease";

  private final Map<String, HeldLease> held = new ConcurrentHashMap<>();
  private final AtomicLong writeIds = new AtomicLong();
  private final TableService table;
  private final LeaseHolder self;
  private final LeaseSettings settings;
  private final Ticker ticker;
  private final LeaseObservations observations;

  public TableLeaseService(
      TableService table, LeaseHolder self, LeaseSettings settings, Ticker ticker) {
    this.table = table;
    this.self = self;
    this.settings = settings;
    this.ticker = ticker;
    this.observations = new LeaseObservations(ticker);
  }

  /** Renews all leases periodically on the scheduler's thread until the future is cancelled. */
  public ScheduledFuture<?> scheduleRenewals(ScheduledExecutorService scheduler) {
    long periodMs = settings.renewalInterval().toMillis();
    return scheduler.scheduleWithFixedDelay(
        this::renewAll, periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  /** Renews all leases that are still safe in one transaction and drops the others. */
  public synchronized void renewAll() {
    List<String> unsafe = held.keySet().stream().filter(n -> held(n).isEmpty()).toList();
    unsafe.forEach(this::drop);
    List<Renewal> renewals = held.keySet().stream().flatMap(n -> renewal(n).stream()).toList();
    if (renewals.isEmpty()) {
      return;
    }
    long sentNanos = ticker.read();
    Either<PlatformFailure, CommitResult> result = table.commit(transaction(renewals));
    if (result.isRight() && result.get() instanceof CommitResult.Committed) {
      renewals.forEach(r -> confirm(r.name(), r.row(), sentNanos));
      return;
    }
    renewals.forEach(r -> renewSingly(r.name()));
  }

  private Optional<Renewal> renewal(String name) {
    Optional<Row> row = table.read(key(name)).getOrElse(Optional.empty());
    return row.filter(r -> LeaseRow.CODEC.decode(r.value()).isHeldBy(self))
        .map(r -> new Renewal(name, r.version(), row(self.name(), fencingNumber(r))));
  }

  private static long fencingNumber(Row row) {
    return LeaseRow.CODEC.decode(row.value()).fencingNumber();
  }

  private static Transaction transaction(List<Renewal> renewals) {
    return new Transaction(
        renewals.stream().map(Renewal::condition).toList(),
        renewals.stream().map(Renewal::mutation).toList());
  }

  private void renewSingly(String name) {
    acquire(name)
        .peekLeft(
            failure ->
                logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                    "lease %s not renewed: %s", name, failure));
  }

  @Override
  public synchronized Either<LeaseFailure, Lease> acquire(String name) {
    Either<PlatformFailure, Optional<Row>> read = table.read(key(name));
    if (read.isLeft()) {
      return unavailable(read.getLeft());
    }
    if (read.get().isEmpty()) {
      return write(name, new Condition.Absent(key(name)), 1);
    }
    return acquireExisting(name, read.get().get());
  }

  private Either<LeaseFailure, Lease> acquireExisting(String name, Row row) {
    LeaseRow current = LeaseRow.CODEC.decode(row.value());
    Condition unchanged = new Condition.VersionIs(row.key(), row.version());
    if (current.isHeldBy(self) && held(name).isPresent()) {
      return write(name, unchanged, current.fencingNumber());
    }
    drop(name);
    if (current.released() || current.isHeldBy(self)) {
      return write(name, unchanged, current.fencingNumber() + 1);
    }
    Duration duration = Duration.ofMillis(current.durationMs());
    if (!observations.hasExpired(name, row.version(), duration)) {
      return Either.left(new LeaseFailure.HeldByOther(current.holder()));
    }
    return write(name, unchanged, current.fencingNumber() + 1);
  }

  private Either<LeaseFailure, Lease> write(String name, Condition condition, long fencingNumber) {
    LeaseRow newRow = row(self.name(), fencingNumber);
    long sentNanos = ticker.read();
    Either<PlatformFailure, CommitResult> result = commit(condition, newRow);
    if (result.isLeft()) {
      return readBack(name, newRow, sentNanos, result.getLeft());
    }
    if (result.get() instanceof CommitResult.Conflict) {
      return readBack(
          name,
          newRow,
          sentNanos,
          PlatformFailure.notApplied("another process changed the lease at the same time"));
    }
    return Either.right(confirm(name, newRow, sentNanos));
  }

  private Either<LeaseFailure, Lease> readBack(
      String name, LeaseRow newRow, long sentNanos, PlatformFailure failure) {
    Either<PlatformFailure, Optional<Row>> read = table.read(key(name));
    if (read.isLeft()) {
      return unavailable(read.getLeft());
    }
    Optional<LeaseRow> current = read.get().map(r -> LeaseRow.CODEC.decode(r.value()));
    if (current.isPresent() && current.get().equals(newRow)) {
      return Either.right(confirm(name, newRow, sentNanos));
    }
    if (current.isEmpty() || current.get().released() || current.get().isHeldBy(self)) {
      return unavailable(failure);
    }
    drop(name);
    return Either.left(new LeaseFailure.HeldByOther(current.get().holder()));
  }

  private Lease confirm(String name, LeaseRow row, long sentNanos) {
    observations.forget(name);
    long safeNanos = settings.duration().minus(settings.safetyMargin()).toNanos();
    HeldLease old = held.get(name);
    if (old != null && old.fencingNumber() == row.fencingNumber()) {
      old.extendUntil(sentNanos + safeNanos);
      return old;
    }
    HeldLease lease = new HeldLease(name, row.fencingNumber(), ticker, sentNanos + safeNanos);
    held.put(name, lease);
    return lease;
  }

  @Override
  public Optional<Lease> held(String name) {
    return Optional.<Lease>ofNullable(held.get(name)).filter(Lease::isSafe);
  }

  @Override
  public synchronized void release(String name) {
    HeldLease lease = held.get(name);
    if (lease == null) {
      return;
    }
    drop(name);
    table
        .read(key(name))
        .peekLeft(
            failure ->
                logger.atInfo().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                    "lease %s not released; it will expire: %s", name, failure))
        .peek(row -> row.ifPresent(r -> writeReleased(r, lease.fencingNumber())));
  }

  private void writeReleased(Row row, long fencingNumber) {
    LeaseRow current = LeaseRow.CODEC.decode(row.value());
    if (!current.isHeldBy(self) || current.fencingNumber() != fencingNumber) {
      return;
    }
    Condition unchanged = new Condition.VersionIs(row.key(), row.version());
    commit(unchanged, row("", fencingNumber))
        .peekLeft(
            failure ->
                logger.atInfo().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                    "lease row %s not released; it will expire: %s", row.key(), failure));
  }

  @Override
  public void close() {
    List.copyOf(held.keySet()).forEach(this::release);
  }

  private void drop(String name) {
    HeldLease lease = held.remove(name);
    if (lease != null) {
      lease.markLost();
    }
  }

  private LeaseRow row(String holder, long fencingNumber) {
    return new LeaseRow(
        holder,
        self.incarnation(),
        fencingNumber,
        settings.duration().toMillis(),
        writeIds.incrementAndGet());
  }

  private Either<PlatformFailure, CommitResult> commit(Condition condition, LeaseRow row) {
    Mutation put = new Mutation.Put(condition.key(), LeaseRow.CODEC.encode(row));
    return table.commit(new Transaction(List.of(condition), List.of(put)));
  }

  private static RowKey key(String name) {
    return new RowKey(TABLE, name);
  }

  private static <T> Either<LeaseFailure, T> unavailable(PlatformFailure failure) {
    return Either.left(new LeaseFailure.StoreUnavailable(failure.reason()));
  }

  /** A write that renews one lease. Immutable. */
  private record Renewal(String name, long rowVersion, LeaseRow row) {
    Condition condition() {
      return new Condition.VersionIs(key(name), rowVersion);
    }

    Mutation mutation() {
      return new Mutation.Put(key(name), LeaseRow.CODEC.encode(row));
    }
  }
}
