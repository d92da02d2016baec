import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A TCP proxy between an entry and one worker. {@link #cut} partitions the two the way a filter that
 * refuses does: new connections are refused, and a connection on which the worker sends something is
 * reset.
 */
final class Proxy implements AutoCloseable {
  private final ServerSocket server;
  private final int target;
  private volatile boolean cut;

  Proxy(int target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  void cut() throws IOException {
    cut = true;
    server.close();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket near = server.accept();
        Socket far = new Socket(InetAddress.getByName("127.0.0.1"), target);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        daemon(() -> copy(near, far, false));
        daemon(() -> copy(far, near, true));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void copy(Socket from, Socket to, boolean fromWorker) {
    byte[] buffer = new byte[16384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (cut) {
          reset(fromWorker ? to : from);
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
