package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.control.Members.Member;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoredRow;

/**
 * Registers this entry in the store and reads who else registered.
 *
 * <p>Entries that are gone stay on the roll, which only makes everybody's share smaller. Confined
 * to the control thread, but for {@link #members}.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class MemberRoll {
  /** Entries start together, so the list is read again soon after the start. */
  private static final Duration FIRST_PERIOD = Duration.ofSeconds(3);

  /** Entries come and go rarely. */
  private static final Duration PERIOD = Duration.ofSeconds(15);

  private final Member self;
  private final ControlStore store;
  private final ControlFormat format;
  private final ScheduledExecutorService control;
  private final EventLog log;
  private volatile Members members;
  private final Consumer<Members> listener;
  private boolean registered;

  /**
   * A roll for this entry.
   *
   * @param listener hears who the entries are
   */
  public MemberRoll(
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
  public Members members() {
    return members;
  }

  void start() {
    store.readAll(format.membersTable()).whenComplete(this::onRead);
  }

  private void onRead(RowBatch batch, Throwable failure) {
    if (failure != null) {
      log.event("members_unread").with("reason", String.valueOf(failure.getMessage())).write();
      readAgain(FIRST_PERIOD);
      return;
    }
    List<Member> all = new ArrayList<>();
    long ownVersion = 0;
    for (StoredRow row : batch.rows()) {
      MemberRow.decode(row).ifPresent(all::add);
      if (row.key().equals(self.name())) {
        ownVersion = row.version();
      }
    }
    if (all.size() != members.all().size()) {
      log.event("members").with("entries", all.size()).write();
    }
    if (all.contains(self)) {
      members = new Members(self.name(), all);
      listener.accept(members);
      readAgain(registered ? PERIOD : FIRST_PERIOD);
      registered = true;
    } else {
      register(ownVersion);
    }
  }

  private void register(long ownVersion) {
    store
        .putIf(format.membersTable(), self.name(), MemberRow.encode(self), ownVersion)
        .whenComplete((revision, failure) -> readAgain(FIRST_PERIOD));
  }

  private void readAgain(Duration pause) {
    control.schedule(this::start, pause.toMillis(), TimeUnit.MILLISECONDS);
  }
}
