package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.StoredRow;

/**
 * Registers this entry in the store and keeps who else registered.
 *
 * <p>Entries that are gone stay on the roll, which only makes everybody's share smaller. Confined
 * to the control thread, but for {@link #current}.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class MemberTable implements TableListener {
  /** Pause before a registration that failed is tried again. */
  private static final Duration RETRY_PAUSE = Duration.ofSeconds(3);

  private final Member self;
  private final ControlStore store;
  private final ControlFormat format;
  private final ScheduledExecutorService control;
  private final EventLog log;
  private final Consumer<Members> listener;
  private final Map<String, Member> byName = new HashMap<>();
  private volatile Members members;
  private boolean registering;
  private long ownVersion;

  /**
   * A roll for this entry.
   *
   * @param listener hears who the entries are
   */
  public MemberTable(
      Member self,
      ControlStore store,
      ControlFormat format,
      ScheduledExecutorService control,
      EventLog log,
      Consumer<Members> listener) {
    this.self = self;
    this.store = store;
    this.format = format;
    this.control = control;
    this.log = log;
    this.listener = listener;
    this.members = new Members(self.name(), List.of());
  }

  /** Who is known now. */
  public Members current() {
    return members;
  }

  @Override
  public void replace(List<StoredRow> rows, long nowNanos) {
    byName.clear();
    ownVersion = 0;
    apply(rows, nowNanos);
  }

  @Override
  public void apply(List<StoredRow> rows, long nowNanos) {
    rows.forEach(this::take);
    if (self.equals(byName.get(self.name()))) {
      publish();
    } else if (!registering) {
      register();
    }
  }

  private void take(StoredRow row) {
    if (row.key().equals(self.name())) {
      ownVersion = row.removed() ? 0 : row.version();
    }
    if (row.removed()) {
      byName.remove(row.key());
    } else {
      MemberRow.decode(row).ifPresent(m -> byName.put(row.key(), m));
    }
  }

  private void publish() {
    if (byName.size() != members.all().size()) {
      log.event("members").with("entries", byName.size()).write();
    }
    members = new Members(self.name(), List.copyOf(byName.values()));
    listener.accept(members);
  }

  private void register() {
    registering = true;
    store
        .putIf(format.membersTable(), self.name(), MemberRow.encode(self), ownVersion)
        .whenComplete(
            (revision, failure) -> {
              if (failure == null) {
                registering = false;
                return;
              }
              log.event("registration_failed")
                  .with("reason", String.valueOf(failure.getMessage()))
                  .write();
              control.schedule(this::registerAgain, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
            });
  }

  private void registerAgain() {
    registering = false;
    if (!self.equals(byName.get(self.name()))) {
      register();
    }
  }
}
