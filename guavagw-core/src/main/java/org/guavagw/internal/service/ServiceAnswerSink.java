package org.guavagw.internal.service;

/** Receives the answer of a plain service for the caller. Confined to the request's thread. */
public interface ServiceAnswerSink {
  /** Receives the complete answer. */
  void accept(String requestId, String backendServer, ServiceAnswer answer);
}
