package org.guavagw.internal.permit;

import io.vavr.control.Either;
import java.time.Duration;

/**
 * Grants leave to send work to backend servers in cold start, so that all entries together send no
 * more than each takes. Thread-safe; calls may block up to the given time.
 */
public interface PermitService {
  /** Asks for leave to send one request to a backend server. */
  Either<PermitRefusal, Permit> acquire(String backendServer, Duration patience);
}
