package org.guavagw.review3;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements Closeable {
  final Socket socket = new Socket();
  final InputStream in;

  Client(int port, int timeoutMillis) throws IOException {
    socket.connect(new InetSocketAddress(Entry.LOOPBACK, port), 1000);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void send(String head, byte[] body) throws IOException {
    byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[first.length + body.length];
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(body, 0, all, first.length, body.length);
    socket.getOutputStream().write(all);
    socket.getOutputStream().flush();
  }

  Answer receive() throws IOException {
    Head head = Head.read(in);
    if (head == null) {
      throw new IOException("closed without an answer");
    }
    return new Answer(head, head.body(in));
  }

  record Answer(Head head, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
