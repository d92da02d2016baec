package org.guavagw.gateway.internal.placement;

import java.util.Optional;
import org.guavagw.gateway.model.BackendServer;

/** The outcome of a placement decision. Immutable. */
public sealed interface Placement {
  /** Returns the outcome if no backend server is eligible. */
  static Placement none() {
    return NoServer.NONE;
  }

  /** Returns the chosen backend server, if any is eligible. */
  default Optional<BackendServer> chosen() {
    return this instanceof Placed placed ? Optional.of(placed.server()) : Optional.empty();
  }

  /** Returns whether backend servers are eligible but all of them are full. */
  default boolean mustWait() {
    return this instanceof Placed placed && !placed.hasRoom();
  }

  /**
   * The backend server that is expected to begin its answer first.
   *
   * @param waitMillis expected time until the request begins to run there
   * @param firstEventMillis expected time until its answer begins, including the wait
   * @param hasRoom whether the request can begin at once; if not, no eligible server has room
   */
  record Placed(BackendServer server, double waitMillis, double firstEventMillis, boolean hasRoom)
      implements Placement {}

  /** No backend server is eligible, or the request was already sent to all that are. */
  enum NoServer implements Placement {
    /** The only instance. */
    NONE
  }
}
