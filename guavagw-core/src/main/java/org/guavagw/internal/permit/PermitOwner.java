package org.guavagw.internal.permit;

import com.google.common.base.Ticker;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.lease.Lease;
import org.guavagw.internal.lease.LeaseService;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.Membership;
import org.guavagw.internal.membership.Rendezvous;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.internal.permit.PermitMessage.Ask;
import org.guavagw.internal.permit.PermitMessage.Held;
import org.guavagw.internal.permit.PermitMessage.Release;
import org.guavagw.internal.permit.PermitMessage.ReportHeld;
import org.guavagw.internal.permit.PermitMessage.Verdict;

/**
 * Grants the permits of this data centre's backend servers while this entry holds their lease.
 *
 * <p>Invariants: nothing is granted without a lease that is safe at that moment; after a takeover
 * nothing is granted until every member has reported the permits it holds or is gone. State belongs
 * to the control thread.
 */
final class PermitOwner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);
  private static final long FIRST_FENCING_NUMBER = 1;
  private static final int TICKS_BEFORE_HANDING_ON = 5;

  private final PermitLedger ledger = new PermitLedger();
  private final ConfigSource configs;
  private final Membership membership;
  private final PeerNetwork network;
  private final LeaseService leases;
  private final HeldPermits ownHeld;
  private final Executor control;
  private final Executor blocking;
  private final Ticker monotonic;
  private final String leaseName;
  private final Set<PeerIdentity> unreported = new HashSet<>();
  private final Set<PeerIdentity> asked = new HashSet<>();
  private Optional<Lease> lease = Optional.empty();
  private boolean acquiring;
  private int ticksAsOther;

  PermitOwner(
      ConfigSource configs,
      Membership membership,
      PeerNetwork network,
      LeaseService leases,
      HeldPermits ownHeld,
      Executor control,
      Executor blocking,
      Ticker monotonic) {
    this.configs = configs;
    this.membership = membership;
    this.network = network;
    this.leases = leases;
    this.ownHeld = ownHeld;
    this.control = control;
    this.blocking = blocking;
    this.monotonic = monotonic;
    this.leaseName = leaseName(membership.self().dataCentre());
  }

  static String leaseName(String dataCentre) {
    return "permits/" + dataCentre;
  }

  /** Listens to holders; call before the network carries messages. */
  void listen() {
    network.onRequest(Ask.class, this::answer);
    network.onMessage(Release.class, this::released);
    network.onRequest(ReportHeld.class, (from, r) -> completed(new Held(ownHeld.all())));
  }

  /** Takes the lease where this entry is the first choice, hands it on where it no longer is. */
  void tick() {
    ledger.dropHolders(this::isGone);
    unreported.removeIf(this::isGone);
    boolean lost = lease.isPresent() && leases.held(leaseName).isEmpty();
    if (lost) {
      lease = Optional.empty();
    }
    if (isFirstChoice()) {
      ticksAsOther = 0;
      acquireIfMissing();
    } else if (lease.isPresent() && ++ticksAsOther >= TICKS_BEFORE_HANDING_ON) {
      lease = Optional.empty();
      blocking.execute(() -> leases.release(leaseName));
    }
    List.copyOf(unreported).forEach(this::askForReport);
  }

  private void acquireIfMissing() {
    if (lease.isEmpty() && !acquiring) {
      acquiring = true;
      blocking.execute(this::acquire);
    }
  }

  /** Decides on an ask. */
  Verdict decide(PeerIdentity from, Ask ask) {
    boolean owns = lease.isPresent() && lease.get().isSafe();
    if (!owns || !unreported.isEmpty()) {
      return Verdict.refuse(PermitRefusal.Reason.NO_OWNER);
    }
    String server = ask.permit().backendServer();
    boolean granted = ledger.grant(from, ask.permit(), limitOf(server), monotonic.read());
    return granted ? Verdict.grant() : Verdict.refuse(PermitRefusal.Reason.FULL);
  }

  void released(PeerIdentity from, Release release) {
    ledger.release(from, release.backendServer(), release.id());
  }

  /** Whether this entry may grant now, for the state dump. */
  boolean isOwner() {
    return lease.isPresent() && unreported.isEmpty();
  }

  private CompletionStage<PeerMessage> answer(PeerIdentity from, Ask ask) {
    return completed(decide(from, ask));
  }

  private static CompletionStage<PeerMessage> completed(PeerMessage message) {
    return CompletableFuture.completedFuture(message);
  }

  private void acquire() {
    Optional<Lease> acquired =
        leases
            .acquire(leaseName)
            .peekLeft(f -> logger.atFine().log("%s not acquired: %s", leaseName, f))
            .toJavaOptional();
    control.execute(() -> takeOver(acquired));
  }

  private void takeOver(Optional<Lease> acquired) {
    acquiring = false;
    lease = acquired;
    if (acquired.isEmpty()) {
      return;
    }
    ledger.clear();
    unreported.clear();
    asked.clear();
    if (acquired.get().fencingNumber() == FIRST_FENCING_NUMBER) {
      return;
    }
    ownHeld.all().forEach(p -> ledger.record(network.self(), p, monotonic.read()));
    membership.members().stream()
        .map(m -> new PeerIdentity(m.id(), m.incarnation()))
        .filter(id -> !id.memberId().equals(network.self().memberId()))
        .forEach(unreported::add);
    List.copyOf(unreported).forEach(this::askForReport);
  }

  private void askForReport(PeerIdentity member) {
    if (!asked.add(member)) {
      return;
    }
    String dataCentre = membership.self().dataCentre();
    var unused =
        network
            .request(member.memberId(), new ReportHeld(dataCentre), REPORT_TIMEOUT)
            .whenCompleteAsync((answer, failure) -> reported(member, answer), control);
  }

  private void reported(PeerIdentity member, PeerMessage answer) {
    asked.remove(member);
    if (answer instanceof Held held && unreported.remove(member)) {
      held.permits().forEach(p -> ledger.record(member, p, monotonic.read()));
    }
  }

  private boolean isFirstChoice() {
    String dataCentre = membership.self().dataCentre();
    List<String> alive = membership.alive(dataCentre).stream().map(Member::id).toList();
    List<String> first = Rendezvous.pick(leaseName, alive, 1);
    return first.equals(List.of(membership.self().id()));
  }

  private boolean isGone(PeerIdentity holder) {
    if (holder.memberId().equals(network.self().memberId())) {
      return false;
    }
    Optional<Member> member = membership.member(holder.memberId());
    return member.isEmpty() || member.get().incarnation() > holder.incarnation();
  }

  private int limitOf(String backendServer) {
    return configs
        .current()
        .config()
        .backendServer(backendServer)
        .map(BackendServerConfig::coldSlots)
        .orElse(0);
  }
}
