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
import org.guavagw.internal.session.PinMessage.Find;
import org.guavagw.internal.session.PinMessage.Known;

/** Asks a bounded number of members for pins, all at once, and answers them. Thread-safe. */
public final class MemberPins implements PinPeers {
  private static final int MAX_ASKED = 16;
  private static final Duration PATIENCE = Duration.ofMillis(300);

  private final Membership membership;
  private final PeerNetwork network;

  /** Creates a client of the members' pins. */
  public MemberPins(Membership membership, PeerNetwork network) {
    this.membership = membership;
    this.network = network;
  }

  /** Answers other members from what this entry remembers. */
  public void answerFrom(Function<SessionKey, Optional<String>> remembered) {
    network.onRequest(
        Find.class,
        (from, find) ->
            CompletableFuture.completedFuture(new Known(remembered.apply(find.key()).orElse(""))));
  }

  @Override
  public Optional<String> find(SessionKey key) {
    List<CompletableFuture<PeerMessage>> answers = new ArrayList<>();
    membership.members().stream()
        .filter(Member::isAlive)
        .filter(m -> !m.id().equals(network.self().memberId()))
        .limit(MAX_ASKED)
        .forEach(m -> answers.add(network.request(m.id(), new Find(key), PATIENCE)));
    long deadline = System.nanoTime() + PATIENCE.toNanos();
    return answers.stream()
        .flatMap(a -> versionIn(a, deadline - System.nanoTime()).stream())
        .findFirst();
  }

  private static Optional<String> versionIn(
      CompletableFuture<PeerMessage> answer, long patienceNanos) {
    try {
      PeerMessage message = answer.get(Math.max(1, patienceNanos), TimeUnit.NANOSECONDS);
      return message instanceof Known known
          ? Optional.of(known.version()).filter(v -> !v.isEmpty())
          : Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
