package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.BooleanSupplier;

/**
 * A request as it is sent to a backend server.
 *
 * @param id request id that the answer must name
 * @param body owned by the exchange; the pool retains it while it is being sent
 * @param chunked whether to use chunked transfer encoding
 * @param requiresNewConnection whether the request must not reuse a connection
 * @param stillWanted whether the request is still to be sent; asked at the last moment before it is
 *     sent on a new connection
 */
record OutgoingRequest(
    String id,
    HttpMethod method,
    String target,
    HttpHeaders headers,
    ByteBuf body,
    boolean chunked,
    boolean requiresNewConnection,
    BooleanSupplier stillWanted) {}
