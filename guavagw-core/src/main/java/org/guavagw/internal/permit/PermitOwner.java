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
import org.guavagw.internal.membership.RendezvousHashing;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.internal.permit.PermitMessage.HeldPermitsReport;
import org.guavagw.internal.permit.PermitMessage.HeldPermitsRequest;
import org.guavagw.internal.permit.PermitMessage.PermitDecision;
import org.guavagw.internal.permit.PermitMessage.PermitRelease;
import org.guavagw.internal.permit.PermitMessage.PermitRequest;

/**
 * Grants the permits for this data centre's backend servers while this entry holds the data
 * centre's permit lease.
 *
 * <p>Invariants: nothing is granted unless the lease is safe at that moment; after a takeover,
 * nothing is granted until every member has reported the permits it holds or is gone. State is
 * confined to the control thread.
 */
final class PermitOwner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);
  private static final long FIRST_FENCING_NUMBER = 1;
  private static final int TICKS_BEFORE_RELEASE = 5;

  private final GrantedPermits granted = new GrantedPermits();
  private final ConfigSource configs;
  private final Membership membership;
  private final PeerNetwork network;
  private final LeaseService leases;
  private final OwnPermits ownPermits;
  private final Executor control;
  private final Executor blocking;
  private final Ticker monotonic;
  private final String leaseName;
  private final Set<PeerIdentity> unreported = new HashSet<>();
  private final Set<PeerIdentity> reportsRequested = new HashSet<>();
  private Optional<Lease> lease = Optional.empty();
  private boolean acquiring;
  private int ticksNotPreferred;

  PermitOwner(
      ConfigSource configs,
      Membership membership,
      PeerNetwork network,
      LeaseService leases,
      OwnPermits ownPermits,
      Executor control,
      Executor blocking,
      Ticker monotonic) {
    this.configs = configs;
    this.membership = membership;
    this.network = network;
    this.leases = leases;
    this.ownPermits = ownPermits;
    this.control = control;
    this.blocking = blocking;
    this.monotonic = monotonic;
    this.leaseName = leaseName(membership.self().dataCentre());
  }

  static String leaseName(String dataCentre) {
    return "permits/" + dataCentre;
  }

  /** Registers the message handlers. Must be called before the network delivers messages. */
  void listen() {
    network.onRequest(PermitRequest.class, this::onPermitRequest);
    network.onMessage(PermitRelease.class, this::onRelease);
    network.onRequest(
        HeldPermitsRequest.class, (from, r) -> completed(new HeldPermitsReport(ownPermits.all())));
  }

  /**
   * Acquires the lease if this entry is the preferred owner, and releases it if it has not been for
   * some ticks.
   */
  void tick() {
    granted.dropHolders(this::isGone);
    unreported.removeIf(this::isGone);
    boolean lost = lease.isPresent() && leases.held(leaseName).isEmpty();
    if (lost) {
      lease = Optional.empty();
    }
    if (isPreferredOwner()) {
      ticksNotPreferred = 0;
      acquireIfMissing();
    } else if (lease.isPresent() && ++ticksNotPreferred >= TICKS_BEFORE_RELEASE) {
      lease = Optional.empty();
      blocking.execute(() -> leases.release(leaseName));
    }
    List.copyOf(unreported).forEach(this::requestReport);
  }

  private void acquireIfMissing() {
    if (lease.isEmpty() && !acquiring) {
      acquiring = true;
      blocking.execute(this::acquire);
    }
  }

  /** Decides on a request for a permit. */
  PermitDecision decide(PeerIdentity from, PermitRequest request) {
    boolean owns = lease.isPresent() && lease.get().isSafe();
    if (!owns || !unreported.isEmpty()) {
      return PermitDecision.refuse(PermitRefusal.Reason.NO_OWNER);
    }
    String server = request.permit().backendServer();
    boolean isGranted = granted.grant(from, request.permit(), limitOf(server), monotonic.read());
    return isGranted ? PermitDecision.grant() : PermitDecision.refuse(PermitRefusal.Reason.FULL);
  }

  void onRelease(PeerIdentity from, PermitRelease release) {
    granted.release(from, release.backendServer(), release.id());
  }

  /** Returns whether this entry may grant permits now, for the state dump. */
  boolean isOwner() {
    return lease.isPresent() && unreported.isEmpty();
  }

  private CompletionStage<PeerMessage> onPermitRequest(PeerIdentity from, PermitRequest request) {
    return completed(decide(from, request));
  }

  private static CompletionStage<PeerMessage> completed(PeerMessage message) {
    return CompletableFuture.completedFuture(message);
  }

  private void acquire() {
    Optional<Lease> acquired =
        leases
            .acquire(leaseName)
            .peekLeft(f -> logger.atFine().log("lease %s not acquired: %s", leaseName, f))
            .toJavaOptional();
    control.execute(() -> takeOver(acquired));
  }

  private void takeOver(Optional<Lease> acquired) {
    acquiring = false;
    lease = acquired;
    if (acquired.isEmpty()) {
      return;
    }
    granted.clear();
    unreported.clear();
    reportsRequested.clear();
    if (acquired.get().fencingNumber() == FIRST_FENCING_NUMBER) {
      return;
    }
    ownPermits.all().forEach(p -> granted.record(network.self(), p, monotonic.read()));
    membership.members().stream()
        .map(m -> new PeerIdentity(m.id(), m.incarnation()))
        .filter(id -> !id.memberId().equals(network.self().memberId()))
        .forEach(unreported::add);
    List.copyOf(unreported).forEach(this::requestReport);
  }

  private void requestReport(PeerIdentity member) {
    if (!reportsRequested.add(member)) {
      return;
    }
    String dataCentre = membership.self().dataCentre();
    var unused =
        network
            .request(member.memberId(), new HeldPermitsRequest(dataCentre), REPORT_TIMEOUT)
            .whenCompleteAsync((answer, failure) -> onReport(member, answer), control);
  }

  private void onReport(PeerIdentity member, PeerMessage answer) {
    reportsRequested.remove(member);
    if (answer instanceof HeldPermitsReport held && unreported.remove(member)) {
      held.permits().forEach(p -> granted.record(member, p, monotonic.read()));
    }
  }

  private boolean isPreferredOwner() {
    String dataCentre = membership.self().dataCentre();
    List<String> alive = membership.alive(dataCentre).stream().map(Member::id).toList();
    List<String> preferred = RendezvousHashing.pick(leaseName, alive, 1);
    return preferred.equals(List.of(membership.self().id()));
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
