package org.guavagw.internal.permit;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.GatewayConfig;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.lease.Lease;
import org.guavagw.internal.lease.LeaseFailure;
import org.guavagw.internal.lease.LeaseService;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.MemberState;
import org.guavagw.internal.membership.Membership;
import org.guavagw.internal.peer.PeerFailure;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageHandler;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.internal.peer.PeerRequestHandler;
import org.guavagw.internal.permit.PermitMessage.HeldPermit;
import org.guavagw.internal.permit.PermitMessage.HeldPermitsReport;
import org.guavagw.internal.permit.PermitMessage.PermitDecision;
import org.guavagw.internal.permit.PermitMessage.PermitRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PermitOwnerTest {
  private static final String DATA_CENTRE = "dc";
  private static final PeerIdentity SELF = new PeerIdentity("entry-1", 1);
  private static final PeerIdentity PEER = new PeerIdentity("entry-2", 1);

  private final FakeLeases leases = new FakeLeases();
  private final FakeNetwork network = new FakeNetwork();
  private final FakeMembership membership = new FakeMembership();
  private PermitOwner owner;

  @BeforeEach
  void createOwner() {
    owner =
        new PermitOwner(
            () -> new RevisionedConfig(1, config()),
            membership,
            network,
            leases,
            new OwnPermits(Ticker.systemTicker()),
            Runnable::run,
            Runnable::run,
            Ticker.systemTicker());
  }

  @Test
  void shouldGrantNothingWithoutALease() {
    assertThat(decide(1).granted()).isFalse();
  }

  @Test
  void shouldGrantUpToTheLimitAsFirstOwner() {
    leases.fencingNumber = 1;
    owner.tick();

    assertThat(decide(1).granted()).isTrue();
    assertThat(decide(2).granted()).isTrue();
    assertThat(decide(3).reason()).isEqualTo("FULL");
  }

  @Test
  void shouldRefuseWhenTheLeaseIsNoLongerSafe() {
    leases.fencingNumber = 1;
    owner.tick();
    leases.safe = false;

    assertThat(decide(1).reason()).isEqualTo("NO_OWNER");
  }

  @Test
  void shouldGrantNothingAfterATakeoverUntilEveryMemberHasReported() {
    membership.members = List.of(memberOf(SELF), memberOf(PEER));
    leases.fencingNumber = 2;
    owner.tick();

    assertThat(decide(1).reason()).isEqualTo("NO_OWNER");

    network.answer(PEER, new HeldPermitsReport(List.of(new HeldPermit("engine", 9, 60_000))));

    assertThat(decide(1).granted()).isTrue();
    assertThat(decide(2).reason()).isEqualTo("FULL");
  }

  @Test
  void shouldNotWaitForAMemberThatIsGone() {
    membership.members = List.of(memberOf(SELF), memberOf(PEER));
    leases.fencingNumber = 2;
    owner.tick();
    membership.members = List.of(memberOf(SELF));
    owner.tick();

    assertThat(decide(1).granted()).isTrue();
  }

  private PermitDecision decide(long id) {
    return owner.decide(SELF, new PermitRequest(new HeldPermit("engine", id, 60_000)));
  }

  private static GatewayConfig config() {
    BackendServerConfig server =
        new BackendServerConfig(
            "engine", DATA_CENTRE, "127.0.0.1", 1, List.of(), 16, 2, false, false, false);
    return new GatewayConfig(
        List.of(), List.of(), List.of(server), List.of(), List.of(), List.of(), List.of());
  }

  private static Member memberOf(PeerIdentity id) {
    return new Member(
        id.memberId(), DATA_CENTRE, "127.0.0.1", 1, id.incarnation(), MemberState.ALIVE);
  }

  private static final class FakeLeases implements LeaseService {
    private long fencingNumber;
    private boolean safe = true;

    @Override
    public Either<LeaseFailure, Lease> acquire(String name) {
      return fencingNumber == 0
          ? Either.left(new LeaseFailure.HeldByOther("another"))
          : Either.right(lease(name));
    }

    @Override
    public Optional<Lease> held(String name) {
      return fencingNumber > 0 ? Optional.of(lease(name)) : Optional.empty();
    }

    @Override
    public void release(String name) {
      fencingNumber = 0;
    }

    @Override
    public void close() {}

    private Lease lease(String leaseName) {
      return new Lease() {
        @Override
        public String name() {
          return leaseName;
        }

        @Override
        public long fencingNumber() {
          return fencingNumber;
        }

        @Override
        public boolean isSafe() {
          return safe;
        }
      };
    }
  }

  private static final class FakeMembership implements Membership {
    private List<Member> members = List.of(memberOf(SELF));

    @Override
    public Member self() {
      return memberOf(SELF);
    }

    @Override
    public List<Member> members() {
      return members;
    }

    @Override
    public List<Member> alive(String dataCentre) {
      return List.of(memberOf(SELF));
    }

    @Override
    public void onChange(Consumer<List<Member>> listener) {}

    @Override
    public void leave() {}

    @Override
    public void close() {}
  }

  private static final class FakeNetwork implements PeerNetwork {
    private final Map<String, CompletableFuture<PeerMessage>> requests = new HashMap<>();

    void answer(PeerIdentity from, PeerMessage message) {
      requests.get(from.memberId()).complete(message);
    }

    @Override
    public PeerIdentity self() {
      return SELF;
    }

    @Override
    public Either<PeerFailure, Void> send(String memberId, PeerMessage message) {
      return Either.right(null);
    }

    @Override
    public CompletableFuture<PeerMessage> request(
        String memberId, PeerMessage message, Duration timeout) {
      return requests.computeIfAbsent(memberId, id -> new CompletableFuture<>());
    }

    @Override
    public <M extends PeerMessage> void onMessage(Class<M> type, PeerMessageHandler<M> handler) {}

    @Override
    public <M extends PeerMessage> void onRequest(Class<M> type, PeerRequestHandler<M> handler) {}

    @Override
    public void disconnect(String memberId) {}

    @Override
    public void close() {}
  }
}
