package org.guavagw.gateway.spi;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.util.OptionalLong;

/** Decodes and encodes the heads of requests and answers. Stateless and thread-safe. */
public interface RelayFormat {
  /** Decodes the head of a caller's request; left is a description of the error. */
  Either<String, CallerRequest> decode(HttpRequest head);

  /** Returns the headers for a backend server, without those for framing, which the relay adds. */
  HttpHeaders attemptHeaders(HttpRequest caller, AttemptHead attempt);

  /**
   * Returns the headers of a caller's request for another entry that serves it, without those for
   * framing, which the relay adds.
   *
   * @param remainingMillis time left until the deadline
   * @param resumeAfter id of the last event that the caller has
   */
  HttpHeaders forwardHeaders(HttpRequest caller, long remainingMillis, OptionalLong resumeAfter);

  /** Decodes the head of a backend server's answer. */
  AnswerHead answer(HttpResponse head);

  /**
   * Returns the headers of a backend server's answer that are passed on to the caller, without
   * those for framing and without what the backend server says to the gateway only.
   */
  HttpHeaders callerHeaders(HttpResponse answer);
}
