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
import org.guavagw.internal.membership.Rendezvous;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.internal.permit.PermitMessage.Ask;
import org.guavagw.internal.permit.PermitMessage.HeldPermit;
import org.guavagw.internal.permit.PermitMessage.Release;
import org.guavagw.internal.permit.PermitMessage.Verdict;

/**
 * Gets permits from the one entry that owns those of a backend server's data centre, and owns them
 * itself where it is that entry. Thread-safe.
 */
public final class PeerPermitService implements PermitService, AutoCloseable {
  private static final long TICK_MS = 1_000;
  private static final int CANDIDATES = 2;

  private final ConfigSource configs;
  private final Membership membership;
  private final PeerNetwork network;
  private final Executor control;
  private final HeldPermits held;
  private final PermitOwner owner;
  private final ScheduledFuture<?> ticking;

  /** Starts to take part; the message types must be registered. */
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
    this.held = new HeldPermits(monotonic);
    this.owner =
        new PermitOwner(configs, membership, network, leases, held, control, blocking, monotonic);
    owner.listen();
    this.ticking = control.scheduleWithFixedDelay(owner::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public Either<PermitRefusal, Permit> acquire(
      String backendServer, Duration timeLeft, Duration patience) {
    PermitRefusal refusal = PermitRefusal.of(PermitRefusal.Reason.NO_OWNER);
    for (String candidate : candidatesFor(backendServer)) {
      HeldPermit wanted = held.add(backendServer, timeLeft);
      Optional<Verdict> verdict = ask(candidate, new Ask(wanted), patience);
      if (verdict.isPresent() && verdict.get().granted()) {
        return Either.right(new GrantedPermit(candidate, wanted));
      }
      giveBack(candidate, wanted);
      boolean full = verdict.filter(PeerPermitService::isFull).isPresent();
      if (full) {
        return Either.left(PermitRefusal.of(PermitRefusal.Reason.FULL));
      }
    }
    return Either.left(refusal);
  }

  /** Whether this entry grants the permits of its data centre now. */
  public boolean isOwner() {
    return owner.isOwner();
  }

  /** How many permits this entry holds or has asked for. */
  public int heldCount() {
    return held.all().size();
  }

  @Override
  public void close() {
    ticking.cancel(false);
  }

  private List<String> candidatesFor(String backendServer) {
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
    return Rendezvous.pick(PermitOwner.leaseName(dataCentre.get()), alive, CANDIDATES);
  }

  private Optional<Verdict> ask(String candidate, Ask ask, Duration patience) {
    CompletableFuture<? extends PeerMessage> answer =
        candidate.equals(network.self().memberId())
            ? CompletableFuture.supplyAsync(() -> owner.decide(network.self(), ask), control)
            : network.request(candidate, ask, patience);
    try {
      PeerMessage message = answer.get(patience.toMillis() + 1, TimeUnit.MILLISECONDS);
      return message instanceof Verdict verdict ? Optional.of(verdict) : Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private void giveBack(String grantedBy, HeldPermit permit) {
    held.remove(permit.id());
    Release release = new Release(permit.backendServer(), permit.id());
    Set<String> owners = new LinkedHashSet<>(candidatesFor(permit.backendServer()));
    owners.add(grantedBy);
    owners.forEach(o -> send(o, release));
  }

  private void send(String candidate, Release release) {
    if (candidate.equals(network.self().memberId())) {
      control.execute(() -> owner.released(network.self(), release));
    } else {
      network.send(candidate, release);
    }
  }

  private static boolean isFull(Verdict verdict) {
    return verdict.reason().equals(PermitRefusal.Reason.FULL.name());
  }

  /** A permit that counts at its owner until it is closed or ends. */
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
      return !closed.get() && held.isSafe(permit.id());
    }

    @Override
    public void close() {
      if (closed.compareAndSet(false, true)) {
        giveBack(grantedBy, permit);
      }
    }
  }
}
