package org.guavagw.internal.permit;

import io.vavr.control.Either;
import java.time.Duration;

/**
 * Grants permits to send requests to backend servers in cold start, so that all entries together do
 * not exceed the limit of each server. Thread-safe; calls may block up to the given timeout.
 */
public interface PermitService {
  /**
   * Requests a permit to send one request to a backend server.
   *
   * @param timeLeft time until the request's deadline, at which the permit ends
   */
  Either<PermitRefusal, Permit> acquire(String backendServer, Duration timeLeft, Duration timeout);
}
