package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as it goes to a backend server.
 *
 * @param id id that the answer must name
 * @param body lent; the pool retains what it sends
 * @param chunked whether the body was framed by chunks
 * @param fresh whether it must go on a connection that was not used before
 */
record OutgoingRequest(
    String id,
    HttpMethod method,
    String target,
    HttpHeaders headers,
    ByteBuf body,
    boolean chunked,
    boolean fresh) {}
