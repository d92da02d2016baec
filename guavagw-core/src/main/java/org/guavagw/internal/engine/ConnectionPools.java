package org.guavagw.internal.engine;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;

/**
 * Provides an HTTP client with a separate connection pool for each backend server, so that the
 * connections to one can be dropped without affecting the others. The clients fail calls whose
 * answer is not valid or not certain to be whole. Thread-safe.
 */
public final class ConnectionPools implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_IDLE_CONNECTIONS = 64;
  private static final long IDLE_MINUTES = 5;

  private final ConcurrentMap<BackendAddress, OkHttpClient> clients = new ConcurrentHashMap<>();
  private final Dispatcher dispatcher = new Dispatcher();
  private final OkHttpClient base;

  /** Creates pools whose reads and writes time out after a time without progress. */
  public ConnectionPools(Duration silenceTimeout) {
    AnswerEndCheck endCheck = new AnswerEndCheck();
    base =
        new OkHttpClient.Builder()
            .addNetworkInterceptor(new AnswerHeadCheck())
            .addNetworkInterceptor(endCheck)
            .eventListener(endCheck)
            .dispatcher(dispatcher)
            .connectTimeout(CONNECT_TIMEOUT)
            .readTimeout(silenceTimeout)
            .writeTimeout(silenceTimeout)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
  }

  /** Returns the client for requests that may be repeated; it reuses connections. */
  public OkHttpClient pooled(BackendAddress address) {
    return clients.computeIfAbsent(address, a -> withPool(MAX_IDLE_CONNECTIONS));
  }

  /**
   * Returns a client that opens a new connection, since a stale pooled one could leave the outcome
   * of a request unknown.
   */
  public OkHttpClient unpooled() {
    return withPool(0);
  }

  /** Drops the pool of a backend server and its idle connections. */
  public void evict(BackendAddress address) {
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
