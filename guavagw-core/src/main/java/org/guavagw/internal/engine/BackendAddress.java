package org.guavagw.internal.engine;

import okhttp3.HttpUrl;

/** Where a backend server listens. Immutable. */
public record BackendAddress(String backendServer, String host, int port) {
  /** The address of a path at the backend server. */
  public HttpUrl url(String path) {
    HttpUrl base = new HttpUrl.Builder().scheme("http").host(host).port(port).build();
    return base.resolve(path);
  }
}
