package org.guavagw.gateway.internal.relay;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.guavagw.gateway.model.BackendServer;

/**
 * Finds out whether a connection failed because of its backend server rather than because of the
 * link of this entry: only if a connection to another server comes about, or there is no other.
 *
 * <p>Invariant: each result is given once. Traffic thread only.
 */
final class ConnectFailureCheck {
  /** Servers that are connected to at a time. */
  private static final int MAX_WITNESSES = 3;

  private final BiConsumer<BackendServer, Consumer<Boolean>> connect;
  private final EndedServerDetector.Witnesses witnesses;

  /**
   * Creates a check.
   *
   * @param connect opens a connection and reports whether it was established
   */
  ConnectFailureCheck(
      BiConsumer<BackendServer, Consumer<Boolean>> connect,
      EndedServerDetector.Witnesses witnesses) {
    this.connect = connect;
    this.witnesses = witnesses;
  }

  /**
   * Checks a failed connection.
   *
   * @param begunNanos monotonic time at which the connection was begun
   * @param result receives whether the backend server is the cause, possibly before this method
   *     returns
   */
  void check(BackendServer server, long begunNanos, Consumer<Boolean> result) {
    if (witnesses.connectedSince(begunNanos)) {
      result.accept(true);
      return;
    }
    List<BackendServer> others =
        witnesses.othersThan(server).stream().limit(MAX_WITNESSES).toList();
    if (others.isEmpty()) {
      result.accept(true);
      return;
    }
    Pending pending = new Pending(others.size(), result);
    others.forEach(other -> connect.accept(other, pending::onWitness));
  }

  /** A check whose connections to other servers have begun. */
  private static final class Pending {
    private final Consumer<Boolean> result;
    private int open;
    private boolean done;

    Pending(int open, Consumer<Boolean> result) {
      this.open = open;
      this.result = result;
    }

    void onWitness(boolean connected) {
      open--;
      if (!done && (connected || open == 0)) {
        done = true;
        result.accept(connected);
      }
    }
  }
}
