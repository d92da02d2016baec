package org.guavagw.internal.permit;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.lease.LeaseService;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.Membership;
import org.guavagw.internal.membership.RendezvousHashing;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.internal.permit.PermitMessage.HeldPermit;
import org.guavagw.internal.permit.PermitMessage.PermitDecision;
import org.guavagw.internal.permit.PermitMessage.PermitRelease;
import org.guavagw.internal.permit.PermitMessage.PermitRequest;

/**
 * Requests permits from the entry that is the owner for the backend server's data centre, and acts
 * as owner if this is that entry. Thread-safe.
 */
public final class PeerPermitService implements PermitService, AutoCloseable {
  private static final long TICK_MS = 1_000;
  private static final int OWNER_CANDIDATES = 2;

  private final ConfigSource configs;
  private final Membership membership;
  private final PeerNetwork network;
  private final Executor control;
  private final OwnPermits ownPermits;
  private final PermitOwner owner;
  private final ScheduledFuture<?> tickTask;

  /**
   * Creates the service and starts its periodic task. The message types must be registered before.
   */
  public PeerPermitService(
      ConfigSource configs,
      Membership membership,
      PeerNetwork network,
      LeaseService leases,
      ScheduledExecutorService control,
      Executor blocking,
      Ticker monotonic) {
    this.configs = configs;
    this.membership = membership;
    this.network = network;
    this.control = control;
    this.ownPermits = new OwnPermits(monotonic);
    this.owner =
        new PermitOwner(
            configs, membership, network, leases, ownPermits, control, blocking, monotonic);
    owner.listen();
    this.tickTask = control.scheduleWithFixedDelay(owner::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public Either<PermitRefusal, Permit> acquire(
      String backendServer, Duration timeLeft, Duration timeout) {
    PermitRefusal refusal = PermitRefusal.of(PermitRefusal.Reason.NO_OWNER);
    for (String candidate : ownerCandidates(backendServer)) {
      HeldPermit permit = ownPermits.add(backendServer, timeLeft);
      Optional<PermitDecision> decision = request(candidate, new PermitRequest(permit), timeout);
      if (decision.isPresent() && decision.get().granted()) {
        return Either.right(new GrantedPermit(candidate, permit));
      }
      giveBack(candidate, permit);
      boolean limitReached = decision.filter(PeerPermitService::isLimitReached).isPresent();
      if (limitReached) {
        return Either.left(PermitRefusal.of(PermitRefusal.Reason.FULL));
      }
    }
    return Either.left(refusal);
  }

  /** Returns whether this entry is the owner for its data centre now. */
  public boolean isOwner() {
    return owner.isOwner();
  }

  /** Returns how many permits this entry holds or has requested. */
  public int heldCount() {
    return ownPermits.all().size();
  }

  @Override
  public void close() {
    tickTask.cancel(false);
  }

  private List<String> ownerCandidates(String backendServer) {
    Optional<String> dataCentre =
        configs
            .current()
            .config()
            .backendServer(backendServer)
            .map(BackendServerConfig::dataCentre);
    if (dataCentre.isEmpty()) {
      return List.of();
    }
    List<String> alive = membership.alive(dataCentre.get()).stream().map(Member::id).toList();
    return RendezvousHashing.pick(PermitOwner.leaseName(dataCentre.get()), alive, OWNER_CANDIDATES);
  }

  private Optional<PermitDecision> request(
      String candidate, PermitRequest request, Duration timeout) {
    CompletableFuture<? extends PeerMessage> answer =
        candidate.equals(network.self().memberId())
            ? CompletableFuture.supplyAsync(() -> owner.decide(network.self(), request), control)
            : network.request(candidate, request, timeout);
    try {
      PeerMessage message = answer.get(timeout.toMillis() + 1, TimeUnit.MILLISECONDS);
      return message instanceof PermitDecision decision ? Optional.of(decision) : Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private void giveBack(String grantedBy, HeldPermit permit) {
    ownPermits.remove(permit.id());
    PermitRelease release = new PermitRelease(permit.backendServer(), permit.id());
    Set<String> owners = new LinkedHashSet<>(ownerCandidates(permit.backendServer()));
    owners.add(grantedBy);
    owners.forEach(o -> send(o, release));
  }

  private void send(String candidate, PermitRelease release) {
    if (candidate.equals(network.self().memberId())) {
      control.execute(() -> owner.onRelease(network.self(), release));
    } else {
      network.send(candidate, release);
    }
  }

  private static boolean isLimitReached(PermitDecision decision) {
    return decision.reason().equals(PermitRefusal.Reason.FULL.name());
  }

  /** A permit that counts towards the owner's limit until it is closed or ends. */
  private final class GrantedPermit implements Permit {
    private final AtomicBoolean closed = new AtomicBoolean();
    private final String grantedBy;
    private final HeldPermit permit;

    GrantedPermit(String grantedBy, HeldPermit permit) {
      this.grantedBy = grantedBy;
      this.permit = permit;
    }

    @Override
    public boolean isSafe() {
      return !closed.get() && ownPermits.isSafe(permit.id());
    }

    @Override
    public void close() {
      if (closed.compareAndSet(false, true)) {
        giveBack(grantedBy, permit);
      }
    }
  }
}
