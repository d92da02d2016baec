package org.guavagw.standins.http;

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

/**
 * A Jooby server on Netty that listens on a loopback port and can be stopped and started again on
 * the same port. Handlers run on the event loop and must not block, unless the mode says worker.
 *
 * <p>Thread-safe; closing twice is harmless.
 */
public final class LoopbackServer implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final int MAX_REQUEST_BYTES = 16 * 1024 * 1024;

  private final Consumer<Jooby> routes;
  private final ExecutionMode mode;
  private final int ioThreads;
  private final int port;
  private Server server;

  /** Starts a server on a free port. */
  public LoopbackServer(ExecutionMode mode, int ioThreads, Consumer<Jooby> routes) {
    this.routes = routes;
    this.mode = mode;
    this.ioThreads = ioThreads;
    this.port = freePort();
    start();
  }

  /** The port, which stays the same when the server is stopped and started again. */
  public int port() {
    return port;
  }

  /** Listens again after {@link #close}; harmless when it listens already. */
  public synchronized void start() {
    if (server != null) {
      return;
    }
    Jooby app = Jooby.createApp(new String[0], mode, this::newApp);
    server = new NettyServer().setOptions(options()).start(app);
  }

  /** Closes the listener and every connection. */
  @Override
  public synchronized void close() {
    if (server == null) {
      return;
    }
    server.stop();
    server = null;
  }

  private Jooby newApp() {
    Jooby jooby = new Jooby();
    routes.accept(jooby);
    return jooby;
  }

  private ServerOptions options() {
    ServerOptions options = new ServerOptions();
    options.setHost(HOST);
    return options
        .setPort(port)
        .setIoThreads(ioThreads)
        .setWorkerThreads(ioThreads)
        .setDefaultHeaders(false)
        .setMaxRequestSize(MAX_REQUEST_BYTES);
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
