package org.guavagw.gateway.spi;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

/** Translates heads of requests and answers. Stateless and thread-safe. */
public interface RelayFormat {
  /** Decodes the head of a caller's request, or says what is wrong with it. */
  Either<String, CallerRequest> decode(HttpRequest head);

  /** Headers for a backend server, made from those of the caller; framing is left to the relay. */
  HttpHeaders attemptHeaders(HttpRequest caller, AttemptHead attempt);

  /** Decodes the head of a backend server's answer. */
  AnswerHead answer(HttpResponse head);
}
