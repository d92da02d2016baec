package org.guavagw.gateway.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Tells apart a lost connection and the end of a backend server: one that has ended accepts no new
 * connection.
 *
 * <p>Invariant: each incarnation is checked once at a time, however many of its connections are
 * lost. Traffic thread only.
 */
final class EndedServerDetector {
  private final BiConsumer<BackendServer, Consumer<Boolean>> connect;
  private final EndListener listener;
  private final Map<String, Check> checks = new HashMap<>();

  /**
   * Creates a detector.
   *
   * @param connect opens a connection and reports whether it was established
   */
  EndedServerDetector(BiConsumer<BackendServer, Consumer<Boolean>> connect, EndListener listener) {
    this.connect = connect;
    this.listener = listener;
  }

  /** Checks a server that closed its connection while a request waited for its answer there. */
  void onConnectionLost(BackendServer server, List<PromptPart> prompt) {
    Check check = checks.get(server.incarnation());
    if (check != null && check.ended) {
      listener.onEnded(server, List.of(prompt));
      return;
    }
    if (check != null) {
      check.waiting.add(prompt);
      return;
    }
    Check next = new Check();
    next.waiting.add(prompt);
    checks.put(server.incarnation(), next);
    connect.accept(server, reachable -> onChecked(server, next, reachable));
  }

  private void onChecked(BackendServer server, Check check, boolean reachable) {
    if (reachable) {
      checks.remove(server.incarnation());
      return;
    }
    check.ended = true;
    listener.onEnded(server, List.copyOf(check.waiting));
    check.waiting.clear();
  }

  /** Removes the results of backend servers that no longer exist. */
  void retain(Set<String> incarnations) {
    checks.entrySet().removeIf(e -> e.getValue().ended && !incarnations.contains(e.getKey()));
  }

  /** Is told of servers that ended. */
  interface EndListener {
    /** A server ended while requests with these prompts waited for their answers there. */
    void onEnded(BackendServer server, List<List<PromptPart>> prompts);
  }

  /** A check in progress, or the knowledge that the server has ended. */
  private static final class Check {
    private final List<List<PromptPart>> waiting = new ArrayList<>();
    private boolean ended;
  }
}
