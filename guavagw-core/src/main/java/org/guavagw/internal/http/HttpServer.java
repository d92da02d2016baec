package org.guavagw.internal.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.function.Consumer;

/** Serves HTTP routes on a port, each request on a worker thread. Thread-safe. */
public final class HttpServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;

  private final Server server;
  private final int port;

  private HttpServer(Server server, int port) {
    this.server = server;
    this.port = port;
  }

  /** Starts a server; port 0 selects a free port. */
  public static HttpServer start(Consumer<Jooby> routes, String host, int port, int workerThreads) {
    ServerOptions options = new ServerOptions();
    options.setHost(host);
    options
        .setPort(port == 0 ? freePort(host) : port)
        .setMaxRequestSize(MAX_BODY_BYTES)
        .setWorkerThreads(workerThreads)
        .setDefaultHeaders(false);
    Jooby app = Jooby.createApp(new String[0], ExecutionMode.WORKER, () -> withRoutes(routes));
    Server server = new NettyServer().setOptions(options).start(app);
    return new HttpServer(server, options.getPort());
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return port;
  }

  @Override
  public void close() {
    server.stop();
  }

  private static int freePort(String host) {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Jooby withRoutes(Consumer<Jooby> routes) {
    Jooby app = new Jooby();
    routes.accept(app);
    return app;
  }
}
