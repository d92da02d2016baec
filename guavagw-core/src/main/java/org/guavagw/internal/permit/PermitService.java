package org.guavagw.internal.permit;

import io.vavr.control.Either;
import java.time.Duration;

/**
 * Grants leave to send work to backend servers in cold start, so that all entries together send no
 * more than each takes. Thread-safe; calls may block up to the given patience.
 */
public interface PermitService {
  /**
   * Asks for leave to send one request to a backend server.
   *
   * @param timeLeft time until the request's deadline, at which the permit ends
   */
  Either<PermitRefusal, Permit> acquire(String backendServer, Duration timeLeft, Duration patience);
}
