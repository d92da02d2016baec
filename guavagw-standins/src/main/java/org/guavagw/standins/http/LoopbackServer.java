package org.guavagw.standins.http;

import com.google.common.flogger.FluentLogger;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A Jooby server on Netty that listens on a loopback port and can be stopped and started again on
 * the same port. Handlers run on the event loop and must not block, unless the mode is worker.
 *
 * <p>A socket that is bound but never listens reserves the port from construction to {@link
 * #close}, because Netty's native transports would share the port with another listener without an
 * error. With a transport that does not share ports, the reservation ends when the server first
 * listens. Thread-safe; stopping or closing twice has no effect.
 */
public final class LoopbackServer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String HOST = "127.0.0.1";
  private static final Duration STOP_LIMIT = Duration.ofSeconds(5);
  private static final Duration STOP_POLL = Duration.ofMillis(1);
  private static final int MAX_REQUEST_BYTES = 16 * 1024 * 1024;

  private final Consumer<Jooby> routes;
  private final ExecutionMode mode;
  private final int threads;
  private final Socket reservation = reservePort();
  private final int port = reservation.getLocalPort();
  private Server server;

  /** Starts a server on a free port. */
  public LoopbackServer(ExecutionMode mode, int threads, Consumer<Jooby> routes) {
    this.routes = routes;
    this.mode = mode;
    this.threads = threads;
    start();
  }

  /** Returns the port, which stays the same when the server is stopped and started again. */
  public int port() {
    return port;
  }

  /** Listens again after {@link #stop}; has no effect if the server already listens. */
  public synchronized void start() {
    if (server != null) {
      return;
    }
    try {
      server = listen();
    } catch (Exception e) {
      logger.atFine().withCause(e).log(
          "cannot listen on reserved port %d; releasing the reservation", port);
      releasePort();
      server = listen();
    }
  }

  /**
   * Closes the listener and every connection, and keeps the port. Connections are refused when this
   * returns.
   *
   * @throws IllegalStateException if connections are still accepted after five seconds
   */
  public synchronized void stop() {
    if (server == null) {
      return;
    }
    server.stop();
    server = null;
    awaitRefusal();
  }

  @Override
  public void close() {
    stop();
    releasePort();
  }

  private Server listen() {
    Jooby app = Jooby.createApp(new String[0], mode, this::newApp);
    return new NettyServer().setOptions(options()).start(app);
  }

  // The server's own stop doesn't wait for its event loops to close the listener.
  private void awaitRefusal() {
    long start = System.nanoTime();
    while (accepts()) {
      if (System.nanoTime() - start > STOP_LIMIT.toNanos()) {
        throw new IllegalStateException("port " + port + " still accepts connections");
      }
      LockSupport.parkNanos(STOP_POLL.toNanos());
    }
  }

  private boolean accepts() {
    try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
      return connection.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  private void releasePort() {
    try {
      reservation.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
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
        .setIoThreads(threads)
        .setWorkerThreads(threads)
        .setDefaultHeaders(false)
        .setMaxRequestSize(MAX_REQUEST_BYTES);
  }

  private static Socket reservePort() {
    Socket socket = new Socket();
    try {
      socket.setReuseAddress(false);
      socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return socket;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
