package org.guavagw.review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The path of one entry to one worker: a proxy that can be cut. */
final class Link {
  private final int target;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  Link(int target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 100, InetAddress.getByName(Entry.LOOPBACK));
    Worker.thread(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Resets all connections; new ones are refused from now on. */
  void cut() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // it was closed a moment ago
      }
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Socket far = new Socket(InetAddress.getByName(Entry.LOOPBACK), target);
        sockets.add(near);
        sockets.add(far);
        Worker.thread(() -> copy(near, far));
        Worker.thread(() -> copy(far, near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[8192];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
        out.flush();
      }
    } catch (IOException e) {
      // one end has closed the connection, or the link is cut
    } finally {
      sockets.remove(from);
      sockets.remove(to);
    }
  }
}
