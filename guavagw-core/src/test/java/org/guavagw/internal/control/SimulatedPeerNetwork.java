package org.guavagw.internal.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.guavagw.internal.peer.PeerException;
import org.guavagw.internal.peer.PeerFailure;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageHandler;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.internal.peer.PeerRequestHandler;

/** Peer network in memory, with partitions and dead entries. Confined to the test thread. */
final class SimulatedPeerNetwork {
  private final ScheduledExecutorService executor;
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final Set<String> dead = new HashSet<>();
  private BiPredicate<String, String> partition = (a, b) -> false;

  SimulatedPeerNetwork(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  PeerNetwork join(PeerIdentity identity) {
    Endpoint endpoint = new Endpoint(identity);
    endpoints.put(identity.memberId(), endpoint);
    dead.remove(identity.memberId());
    return endpoint;
  }

  void kill(String id) {
    dead.add(id);
  }

  void revive(String id) {
    dead.remove(id);
  }

  /** Drops messages between entries that match the predicate in either order. */
  void partition(BiPredicate<String, String> between) {
    partition = between;
  }

  private boolean isReachable(String from, String to) {
    boolean alive = endpoints.containsKey(to) && !dead.contains(from) && !dead.contains(to);
    return alive && !partition.test(from, to) && !partition.test(to, from);
  }

  /** One entry's access to the network. Confined to the test thread. */
  private final class Endpoint implements PeerNetwork {
    private final PeerIdentity self;
    private final Map<Class<?>, PeerMessageHandler<PeerMessage>> messages = new HashMap<>();
    private final Map<Class<?>, PeerRequestHandler<PeerMessage>> requests = new HashMap<>();

    Endpoint(PeerIdentity self) {
      this.self = self;
    }

    @Override
    public PeerIdentity self() {
      return self;
    }

    @Override
    public Either<PeerFailure, Void> send(String memberId, PeerMessage message) {
      if (isReachable(self.memberId(), memberId)) {
        executor.execute(
            () -> endpoints.get(memberId).messages.get(message.getClass()).handle(self, message));
      }
      return Either.right(null);
    }

    @Override
    public CompletableFuture<PeerMessage> request(
        String memberId, PeerMessage message, Duration timeout) {
      CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
      var unused =
          executor.schedule(
              () -> answer.completeExceptionally(new PeerException(PeerFailure.TIMEOUT)),
              timeout.toMillis(),
              TimeUnit.MILLISECONDS);
      if (isReachable(self.memberId(), memberId)) {
        executor.execute(() -> answer(memberId, message, answer));
      }
      return answer;
    }

    private void answer(
        String memberId, PeerMessage message, CompletableFuture<PeerMessage> answer) {
      PeerRequestHandler<PeerMessage> handler =
          endpoints.get(memberId).requests.get(message.getClass());
      if (handler == null) {
        answer.completeExceptionally(new PeerException(PeerFailure.NOT_HANDLED));
        return;
      }
      var unused = handler.handle(self, message).thenAccept(answer::complete);
    }

    @Override
    public <M extends PeerMessage> void onMessage(Class<M> type, PeerMessageHandler<M> handler) {
      messages.put(type, (from, m) -> handler.handle(from, type.cast(m)));
    }

    @Override
    public <M extends PeerMessage> void onRequest(Class<M> type, PeerRequestHandler<M> handler) {
      requests.put(type, (from, m) -> handler.handle(from, type.cast(m)));
    }

    @Override
    public void disconnect(String memberId) {
      // there are no connections
    }

    @Override
    public void close() {
      kill(self.memberId());
    }
  }
}
