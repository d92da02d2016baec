package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.quarantine.RequestQuarantine;
import org.guavagw.gateway.internal.quarantine.RequestTraits;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Decides for one request whether it may be sent, as it may end the backend server that begins to
 * answer it. Traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ExchangeGuard {
  private final CrashGuard crashGuard;
  private final EventLoop eventLoop;
  private final Ticker ticker;
  private final RequestTraits traits;
  private boolean lostWithServer;
  private boolean test;

  ExchangeGuard(ExchangeDependencies shared, AdmittedRequest request) {
    this.crashGuard = shared.crashGuard();
    this.eventLoop = shared.eventLoop();
    this.ticker = shared.ticker();
    this.traits =
        new RequestTraits(
            RequestFingerprint.of(request.head(), request.caller(), request.body()),
            sharedParts(request.caller().prompt()));
  }

  /** Returns the ids of all parts but the last one, which no other request has. */
  private static List<String> sharedParts(List<PromptPart> prompt) {
    return prompt.stream().limit(Math.max(0, prompt.size() - 1)).map(PromptPart::id).toList();
  }

  String fingerprint() {
    return traits.fingerprint();
  }

  /** Returns the time for which the request must not be sent; empty if it may be sent now. */
  Optional<Duration> untilAllowed(long now) {
    return quarantine().untilAllowed(traits, lostWithServer, now);
  }

  /** Returns whether an attempt that waits for its answer should be given up. */
  boolean holds(long now) {
    return !test && untilAllowed(now).isPresent();
  }

  void onSent(long now) {
    test = quarantine().onSent(traits, now);
  }

  void onAnswered(long now) {
    quarantine().onAnswered(traits, now);
  }

  /**
   * Checks whether a server has ended that closed a connection.
   *
   * @param waiting whether the request waited there for the first part of its answer
   * @param result receives whether the server has ended
   * @param settled runs after that, as soon as it is known whether the request may be sent again;
   *     both may run before this method returns
   */
  void onConnectionLost(
      BackendServer server, boolean waiting, Consumer<Boolean> result, Runnable settled) {
    boolean suspect = waiting && quarantine().isUnproven(traits, ticker.read());
    crashGuard.onConnectionLost(
        server,
        Optional.of(traits).filter(t -> suspect),
        ended -> {
          lostWithServer |= suspect && ended;
          result.accept(ended);
          runWhenSettled(settled);
        });
  }

  private void runWhenSettled(Runnable task) {
    Duration settling =
        lostWithServer ? quarantine().untilSettled(traits, ticker.read()) : Duration.ZERO;
    if (settling.isZero()) {
      task.run();
      return;
    }
    eventLoop.schedule(() -> runWhenSettled(task), settling.toNanos(), TimeUnit.NANOSECONDS);
  }

  private RequestQuarantine quarantine() {
    return crashGuard.quarantine();
  }
}
