package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.Team;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * A whole request that may be served.
 *
 * @param body owned by the exchange that serves it
 * @param chunked whether the caller framed the body by chunks
 * @param arrivedNanos when its head had arrived
 * @param configVersion version of the configuration that admitted it
 */
record AdmittedRequest(
    HttpRequest head,
    CallerRequest caller,
    Route route,
    Optional<Team> team,
    ByteBuf body,
    boolean chunked,
    long arrivedNanos,
    long configVersion) {}
