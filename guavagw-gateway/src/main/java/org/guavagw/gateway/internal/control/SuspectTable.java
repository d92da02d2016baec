package org.guavagw.gateway.internal.control;

import com.google.common.collect.ImmutableSet;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.CrashSuspect;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.quarantine.SuspectStore;
import org.guavagw.gateway.internal.quarantine.TimedSuspect;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowVersion;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Saves the crash suspects of this entry in a row of the members' table, which all entries read
 * when they start, and reads those of all entries.
 *
 * <p>Times are stored by the store's clock, as clocks of VMs differ. Confined to the control
 * thread, except for {@link #save}.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class SuspectTable implements TableListener, SuspectStore {
  private static final String KEY_SUFFIX = "/suspects";

  /** Time until the next write: the row that was written has been read again by then. */
  private static final Duration WRITE_PAUSE = Duration.ofSeconds(3);

  private final String ownKey;
  private final ControlStore store;
  private final ControlFormat format;
  private final ScheduledExecutorService control;
  private final EventLog log;
  private final PeerCodec codec = new PeerCodec();
  private Consumer<List<TimedSuspect>> receiver = suspects -> {};
  private Set<CrashSuspect> saved = Set.of();
  private long ownVersion;
  private long storeOffsetMillis;
  private boolean loaded;
  private boolean paused;

  /** Creates a table without suspects. */
  public SuspectTable(
      Member self,
      ControlStore store,
      ControlFormat format,
      ScheduledExecutorService control,
      EventLog log) {
    this.ownKey = self.name() + KEY_SUFFIX;
    this.store = store;
    this.format = format;
    this.control = control;
    this.log = log;
  }

  /** Returns whether a row of the members' table holds suspects. */
  static boolean holdsSuspects(StoredRow row) {
    return row.key().endsWith(KEY_SUFFIX);
  }

  @Override
  public void onRead(Consumer<List<TimedSuspect>> newReceiver) {
    control.execute(() -> receiver = newReceiver);
  }

  @Override
  public void onStoreClock(long storeMillis, long nowNanos) {
    storeOffsetMillis = storeMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
  }

  @Override
  public void onSnapshot(List<StoredRow> rows, long nowNanos) {
    loaded = true;
    ownVersion = 0;
    saved = Set.of();
    onChanges(rows, nowNanos);
  }

  @Override
  public void onChanges(List<StoredRow> rows, long nowNanos) {
    rows.stream().filter(SuspectTable::holdsSuspects).forEach(this::apply);
  }

  private void apply(StoredRow row) {
    boolean own = row.key().equals(ownKey);
    List<TimedSuspect> suspects = row.removed() ? List.of() : decode(row, own);
    if (own) {
      ownVersion = row.removed() ? 0 : row.version();
      saved = toSet(suspects);
    }
    receiver.accept(suspects);
  }

  private List<TimedSuspect> decode(StoredRow row, boolean own) {
    try {
      return codec.decode(row.value(), SavedSuspects.class).suspects().stream()
          .map(s -> new TimedSuspect(s.suspect(), toNanos(s.learnedMillis()), own))
          .toList();
    } catch (UncheckedIOException e) {
      log.event("row_ignored")
          .with("table", format.membersTable())
          .with("row", row.key())
          .with("reason", String.valueOf(e.getMessage()))
          .write();
      return List.of();
    }
  }

  @Override
  public void save(List<TimedSuspect> suspects) {
    if (!suspects.isEmpty()) {
      control.execute(() -> write(suspects));
    }
  }

  private void write(List<TimedSuspect> suspects) {
    if (!loaded || paused || saved.containsAll(toSet(suspects))) {
      return;
    }
    paused = true;
    List<SavedSuspect> rows =
        suspects.stream()
            .map(s -> new SavedSuspect(s.suspect(), toStoreMillis(s.learnedNanos())))
            .toList();
    store
        .putIf(
            new RowVersion(format.membersTable(), ownKey, ownVersion),
            codec.encode(new SavedSuspects(rows)),
            List.of())
        .whenComplete((era, failure) -> onWritten(suspects, failure));
  }

  private void onWritten(List<TimedSuspect> suspects, Throwable failure) {
    log.event("crash_suspects_saved")
        .with("suspects", suspects.size())
        .with("outcome", failure == null ? "written" : String.valueOf(failure.getMessage()))
        .write();
    control.schedule(() -> paused = false, WRITE_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static Set<CrashSuspect> toSet(List<TimedSuspect> suspects) {
    return suspects.stream().map(TimedSuspect::suspect).collect(ImmutableSet.toImmutableSet());
  }

  private long toStoreMillis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos) + storeOffsetMillis;
  }

  private long toNanos(long storeMillis) {
    return TimeUnit.MILLISECONDS.toNanos(storeMillis - storeOffsetMillis);
  }

  /** The content of a row. Immutable. */
  record SavedSuspects(List<SavedSuspect> suspects) {
    SavedSuspects {
      suspects = List.copyOf(suspects);
    }
  }

  /** A suspect and the store's time at which it was learned. Immutable. */
  record SavedSuspect(CrashSuspect suspect, long learnedMillis) {}
}
