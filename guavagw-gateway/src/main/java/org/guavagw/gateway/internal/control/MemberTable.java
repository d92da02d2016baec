package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowVersion;
import org.guavagw.gateway.spi.StoredRow;

/**
 * Registers this entry in the store and keeps the list of registered entries.
 *
 * <p>Entries that are gone stay on the list, which only makes the shares of the others smaller.
 * Confined to the control thread, except for {@link #current}.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class MemberTable implements TableListener {
  /** Pause before a failed registration is retried. */
  private static final Duration RETRY_PAUSE = Duration.ofSeconds(3);

  private final Member self;
  private final ControlStore store;
  private final ControlFormat format;
  private final ScheduledExecutorService control;
  private final EventLog log;
  private final Consumer<Members> listener;
  private final Map<String, Member> membersByName = new HashMap<>();
  private volatile Members members;
  private volatile Members reachable;
  private final CompletableFuture<Void> whenKnown = new CompletableFuture<>();
  private final CompletableFuture<Boolean> othersRegistered = new CompletableFuture<>();
  private boolean registering;
  private long ownVersion;

  /**
   * Creates a table that registers this entry when it first receives rows.
   *
   * @param listener receives the members that can be reached, after each change
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
    this.reachable = members;
  }

  /** Returns the members known now; none before this entry has seen its own registration. */
  public Members current() {
    return members;
  }

  /** Returns whether this entry has seen its own registration. */
  boolean isRegistered() {
    return whenKnown.isDone();
  }

  /**
   * Returns the members that can be asked, this entry included; it may not have seen its own
   * registration yet, and so must not yet share any limit with them.
   */
  public Members reachable() {
    return reachable;
  }

  @Override
  public void onSnapshot(List<StoredRow> rows, long nowNanos) {
    membersByName.clear();
    ownVersion = 0;
    onChanges(rows, nowNanos);
  }

  @Override
  public void onRestored(List<StoredRow> rows, long nowNanos) {
    // Other entries that the copy lacks register again; until then they still share the limits.
    membersByName.remove(self.name());
    ownVersion = 0;
    onChanges(rows, nowNanos);
  }

  @Override
  public void onChanges(List<StoredRow> rows, long nowNanos) {
    rows.stream().filter(r -> !SuspectTable.holdsSuspects(r)).forEach(this::applyRow);
    othersRegistered.complete(
        membersByName.keySet().stream().anyMatch(n -> !n.equals(self.name())));
    publishReachable();
    if (self.equals(membersByName.get(self.name()))) {
      publish();
    } else if (!registering) {
      register();
    }
  }

  private void publishReachable() {
    Map<String, Member> all = new HashMap<>(membersByName);
    all.put(self.name(), self);
    reachable = new Members(self.name(), List.copyOf(all.values()));
    listener.accept(reachable);
  }

  private void applyRow(StoredRow row) {
    if (row.key().equals(self.name())) {
      ownVersion = row.removed() ? 0 : row.version();
    }
    if (row.removed()) {
      membersByName.remove(row.key());
    } else {
      MemberRowCodec.decode(row).ifPresent(m -> membersByName.put(row.key(), m));
    }
  }

  private void publish() {
    if (membersByName.size() != members.all().size()) {
      log.event("members").with("entries", membersByName.size()).write();
    }
    members = reachable;
    whenKnown.complete(null);
  }

  /** Returns a future that completes when this entry first sees its own registration. */
  CompletableFuture<Void> whenKnown() {
    return whenKnown;
  }

  /** Returns a future of whether another entry was registered when this one first looked. */
  CompletableFuture<Boolean> othersRegistered() {
    return othersRegistered;
  }

  private void register() {
    registering = true;
    store
        .putIf(
            new RowVersion(format.membersTable(), self.name(), ownVersion),
            MemberRowCodec.encode(self),
            List.of())
        .whenComplete(
            (era, failure) -> {
              if (failure == null) {
                registering = false;
                return;
              }
              log.event("registration_failed")
                  .with("reason", String.valueOf(failure.getMessage()))
                  .write();
              control.schedule(
                  this::retryRegistration, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
            });
  }

  private void retryRegistration() {
    registering = false;
    if (!self.equals(membersByName.get(self.name()))) {
      register();
    }
  }
}
