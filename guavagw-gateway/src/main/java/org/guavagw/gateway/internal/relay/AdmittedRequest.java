package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalInt;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.Team;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * A complete request that passed admission.
 *
 * @param body released by the exchange that serves the request
 * @param chunked whether the caller used chunked transfer encoding
 * @param attemptsElsewhere attempts of the entry that forwarded it; empty if a caller sent it
 * @param arrivedNanos monotonic time at which its head arrived
 * @param configVersion version of the configuration that admitted it
 */
record AdmittedRequest(
    HttpRequest head,
    CallerRequest caller,
    Route route,
    Optional<Team> team,
    ByteBuf body,
    boolean chunked,
    OptionalInt attemptsElsewhere,
    long arrivedNanos,
    long configVersion) {
  /** Returns whether another entry forwarded the request. */
  boolean forwarded() {
    return attemptsElsewhere.isPresent();
  }
}
