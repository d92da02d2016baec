package org.guavagw.internal.engine;

import okhttp3.HttpUrl;

/** The address that a backend server listens on. Immutable. */
public record BackendAddress(String backendServer, String host, int port) {
  /** Returns the URL of a path on the backend server. */
  public HttpUrl url(String path) {
    HttpUrl base = new HttpUrl.Builder().scheme("http").host(host).port(port).build();
    return base.resolve(path);
  }
}
