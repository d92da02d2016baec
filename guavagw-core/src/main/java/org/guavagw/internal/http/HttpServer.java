package org.guavagw.internal.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.util.function.Consumer;

/** Runs HTTP routes on a port, each request on a worker thread. Thread-safe. */
public final class HttpServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;

  private final Jooby app;
  private final int port;

  private HttpServer(Jooby app, int port) {
    this.app = app;
    this.port = port;
  }

  /** Starts to accept connections. */
  public static HttpServer start(Consumer<Jooby> routes, String host, int port, int workerThreads) {
    ServerOptions options = new ServerOptions();
    options.setHost(host);
    options
        .setPort(port)
        .setMaxRequestSize(MAX_BODY_BYTES)
        .setWorkerThreads(workerThreads)
        .setDefaultHeaders(false);
    Jooby app = Jooby.createApp(new String[0], ExecutionMode.WORKER, () -> withRoutes(routes));
    app.start(new NettyServer().setOptions(options));
    return new HttpServer(app, options.getPort());
  }

  /** The port that accepts connections. */
  public int port() {
    return port;
  }

  @Override
  public void close() {
    app.stop();
  }

  private static Jooby withRoutes(Consumer<Jooby> routes) {
    Jooby app = new Jooby();
    routes.accept(app);
    return app;
  }
}
