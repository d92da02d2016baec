package org.guavagw.gateway.internal.relay;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.guavagw.gateway.model.BackendServer;

/**
 * Finds out whether a connection failed because of its backend server rather than because of the
 * link of this entry: only if the server fails once more while a connection to another server,
 * begun at the same moment, comes about, or if there is no other.
 *
 * <p>Invariant: each result is given once. Traffic thread only.
 */
final class ConnectFailureCheck {
  /** Other servers that are connected to at a time. */
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
   * Checks a server to which a connection has failed.
   *
   * @param result receives whether the backend server is the cause, possibly before this method
   *     returns
   */
  void check(BackendServer server, Consumer<Boolean> result) {
    List<BackendServer> others =
        witnesses.othersThan(server).stream().limit(MAX_WITNESSES).toList();
    if (others.isEmpty()) {
      result.accept(true);
      return;
    }
    Pending pending = new Pending(others.size(), result);
    connect.accept(server, pending::onServer);
    others.forEach(other -> connect.accept(other, pending::onWitness));
  }

  /** A check whose connections have begun. */
  private static final class Pending {
    private final Consumer<Boolean> result;
    private int openWitnesses;
    private boolean witnessConnected;
    private boolean serverFailed;
    private boolean done;

    Pending(int openWitnesses, Consumer<Boolean> result) {
      this.openWitnesses = openWitnesses;
      this.result = result;
    }

    void onServer(boolean connected) {
      serverFailed = !connected;
      if (connected) {
        conclude(false);
      } else if (witnessConnected) {
        conclude(true);
      }
    }

    void onWitness(boolean connected) {
      openWitnesses--;
      witnessConnected |= connected;
      if (witnessConnected && serverFailed) {
        conclude(true);
      } else if (!witnessConnected && openWitnesses == 0) {
        conclude(false);
      }
    }

    private void conclude(boolean causedByServer) {
      if (!done) {
        done = true;
        result.accept(causedByServer);
      }
    }
  }
}
