package org.guavagw.internal.engine;

import okhttp3.HttpUrl;

/** Where a backend server listens. Immutable. */
public record BackendAddress(String backendServer, String host, int port) {
  HttpUrl url(String path) {
    HttpUrl base = new HttpUrl.Builder().scheme("http").host(host).port(port).build();
    return base.resolve(path);
  }
}
