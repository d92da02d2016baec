package org.guavagw.internal.engine;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;

/**
 * Gives each backend server an HTTP client with a connection pool of its own, so that connections
 * to one backend server can be replaced without harm to others. Thread-safe.
 */
public final class ConnectionPools implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_IDLE_CONNECTIONS = 64;
  private static final long IDLE_MINUTES = 5;

  private final ConcurrentMap<BackendAddress, OkHttpClient> clients = new ConcurrentHashMap<>();
  private final Dispatcher dispatcher = new Dispatcher();
  private final OkHttpClient base;

  /** Creates pools whose reads fail after a time without a byte. */
  public ConnectionPools(Duration silenceTimeout) {
    base =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectTimeout(CONNECT_TIMEOUT)
            .readTimeout(silenceTimeout)
            .writeTimeout(silenceTimeout)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
  }

  /** The client for requests that may be repeated; it reuses connections. */
  public OkHttpClient pooled(BackendAddress address) {
    return clients.computeIfAbsent(address, a -> withPool(MAX_IDLE_CONNECTIONS));
  }

  /**
   * A client that opens a fresh connection, so that a stale pooled one cannot leave the outcome of
   * a request unknown.
   */
  public OkHttpClient fresh() {
    return withPool(0);
  }

  /** Drops all idle connections to a backend server. */
  public void replace(BackendAddress address) {
    OkHttpClient old = clients.remove(address);
    if (old != null) {
      old.connectionPool().evictAll();
    }
  }

  @Override
  public void close() {
    clients.values().forEach(c -> c.connectionPool().evictAll());
    dispatcher.executorService().shutdown();
  }

  private OkHttpClient withPool(int maxIdle) {
    return base.newBuilder()
        .connectionPool(new ConnectionPool(maxIdle, IDLE_MINUTES, TimeUnit.MINUTES))
        .build();
  }
}
