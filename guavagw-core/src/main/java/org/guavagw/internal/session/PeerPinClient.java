package org.guavagw.internal.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.Membership;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.internal.session.PinMessage.PinAnswer;
import org.guavagw.internal.session.PinMessage.PinRequest;

/**
 * Asks a limited number of members for pins in parallel, and answers such requests of other
 * members. Thread-safe.
 */
public final class PeerPinClient implements PeerPinLookup {
  private static final int MAX_QUERIED = 16;
  private static final Duration TIMEOUT = Duration.ofMillis(300);

  private final Membership membership;
  private final PeerNetwork network;

  /** Creates a client that queries the live members. */
  public PeerPinClient(Membership membership, PeerNetwork network) {
    this.membership = membership;
    this.network = network;
  }

  /** Answers requests of other members with the versions that this entry has cached. */
  public void answerWith(Function<SessionKey, Optional<String>> cachedVersion) {
    network.onRequest(
        PinRequest.class,
        (from, request) ->
            CompletableFuture.completedFuture(
                new PinAnswer(cachedVersion.apply(request.key()).orElse(""))));
  }

  @Override
  public Optional<String> lookUp(SessionKey key) {
    List<CompletableFuture<PeerMessage>> answers = new ArrayList<>();
    membership.members().stream()
        .filter(Member::isAlive)
        .filter(m -> !m.id().equals(network.self().memberId()))
        .limit(MAX_QUERIED)
        .forEach(m -> answers.add(network.request(m.id(), new PinRequest(key), TIMEOUT)));
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    return answers.stream()
        .flatMap(a -> versionIn(a, deadline - System.nanoTime()).stream())
        .findFirst();
  }

  private static Optional<String> versionIn(
      CompletableFuture<PeerMessage> answer, long timeoutNanos) {
    try {
      PeerMessage message = answer.get(Math.max(1, timeoutNanos), TimeUnit.NANOSECONDS);
      return message instanceof PinAnswer pin
          ? Optional.of(pin.version()).filter(v -> !v.isEmpty())
          : Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
