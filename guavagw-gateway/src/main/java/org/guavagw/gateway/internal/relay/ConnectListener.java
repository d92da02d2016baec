package org.guavagw.gateway.internal.relay;

import org.guavagw.gateway.model.BackendServer;

/** Is notified of the outcome of every connection that is opened, and of what is received. */
interface ConnectListener {
  /** Ignores everything. */
  ConnectListener NONE =
      new ConnectListener() {
        @Override
        public void onConnected(BackendServer server) {
          // not needed
        }

        @Override
        public void onConnectFailed(BackendServer server, long begunNanos) {
          // not needed
        }

        @Override
        public void onConnectTimedOut(BackendServer server, long begunNanos) {
          // not needed
        }

        @Override
        public void onReceived(BackendServer server) {
          // not needed
        }
      };

  void onConnected(BackendServer server);

  /** A connection that was begun at a monotonic time was refused or failed otherwise. */
  void onConnectFailed(BackendServer server, long begunNanos);

  /** A connection that was begun at a monotonic time was neither accepted nor refused in time. */
  void onConnectTimedOut(BackendServer server, long begunNanos);

  /** Bytes of an answer were received from a server. */
  void onReceived(BackendServer server);
}
