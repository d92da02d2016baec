package org.guavagw.internal.service;

/** Takes a plain service's whole answer towards the caller. Confined to the request's thread. */
public interface ServiceSink {
  /** Passes the answer on. */
  void accept(String requestId, String backendServer, ServiceAnswer answer);
}
