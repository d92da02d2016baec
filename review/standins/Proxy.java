import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy between entries and one worker. {@link #cut} partitions them: new connections are
 * refused, and open ones are reset.
 */
final class Proxy implements AutoCloseable {
  private final int target;
  private final int port;
  private final Set<Socket> near = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;
  private volatile boolean cut;

  Proxy(int target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    this.port = server.getLocalPort();
    daemon(this::accept);
  }

  int port() {
    return port;
  }

  void cut() throws IOException {
    cut = true;
    server.close();
    for (Socket socket : near) {
      reset(socket);
    }
  }

  /** Ends the partition. */
  void heal() throws IOException {
    cut = false;
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 128);
    daemon(this::accept);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = server.accept();
        near.add(caller);
        Socket far = new Socket(InetAddress.getByName("127.0.0.1"), target);
        caller.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        daemon(() -> copy(caller, far));
        daemon(() -> copy(far, caller));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (cut) {
          return;
        }
        out.write(buffer, 0, n);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      try {
        to.close();
      } catch (IOException ignored) {
        // closed already
      }
    }
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
