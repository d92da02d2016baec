package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.quarantine.PromptQuarantine;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Tells the quarantine of prompts which requests waited on servers that ended. Traffic thread only.
 */
final class CrashGuard {
  private final PromptQuarantine quarantine;
  private final EndedServerDetector detector;
  private final QuarantineLog log;
  private final Ticker ticker;

  /**
   * Creates a guard with an empty quarantine.
   *
   * @param connect opens a connection and reports whether it was established
   * @param rank rank of this entry among those that test held prompt parts
   */
  CrashGuard(
      BiConsumer<BackendServer, Consumer<Boolean>> connect,
      IntSupplier rank,
      Ticker ticker,
      EventLog log) {
    this.log = new QuarantineLog(log);
    this.quarantine = new PromptQuarantine(rank, this.log);
    this.detector = new EndedServerDetector(connect, this::onEnded);
    this.ticker = ticker;
  }

  PromptQuarantine quarantine() {
    return quarantine;
  }

  /**
   * Records that a connection was lost while a request waited for its answer; returns whether the
   * request may be the cause.
   */
  boolean onLostWhileWaiting(BackendServer server, List<PromptPart> prompt) {
    boolean suspect = quarantine.isUnproven(prompt, ticker.read());
    if (suspect) {
      detector.onConnectionLost(server, prompt);
    }
    return suspect;
  }

  private void onEnded(BackendServer server, List<List<PromptPart>> prompts) {
    log.onServerEnded(server, prompts.size());
    prompts.forEach(p -> quarantine.onServerEnded(server.incarnation(), p, ticker.read()));
  }

  /** Removes the state of backend servers that no longer exist, and what is old. */
  void retain(Set<String> incarnations) {
    detector.retain(incarnations);
    quarantine.expire(ticker.read());
  }
}
