package org.guavagw.review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A worker that serves one request at a time on each connection. */
final class Worker {
  final String id;
  final String service;
  final ServerSocket server;
  private final Behaviour behaviour;

  /** What a worker does with a request. */
  interface Behaviour {
    /** Answers a request; returns whether the connection is kept. */
    boolean serve(Worker worker, Head request, byte[] body, Socket socket, OutputStream out)
        throws IOException, InterruptedException;
  }

  Worker(String id, String service, Behaviour behaviour) throws IOException {
    this.id = id;
    this.service = service;
    this.behaviour = behaviour;
    this.server = new ServerSocket(0, 500, InetAddress.getByName(Entry.LOOPBACK));
    thread(this::accept);
  }

  static void thread(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    thread.start();
  }

  String row(String zone, int slots, int seq) {
    return "{\"service\":\""
        + service
        + "\",\"addr\":\"127.0.0.1:"
        + server.getLocalPort()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":"
        + slots
        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":"
        + seq
        + "}";
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      boolean kept = true;
      while (kept) {
        Head request = Head.read(in);
        if (request == null) {
          return;
        }
        byte[] body = request.body(in);
        if (request.startLine.startsWith("GET /healthz ")) {
          write(
              socket.getOutputStream(),
              "HTTP/1.1 200 OK\r\nX-Worker-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        String expected = request.get("X-Expect-Worker");
        if (!expected.isEmpty() && !expected.equals(id)) {
          write(
              socket.getOutputStream(),
              "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "
                  + request.get("X-Attempt-Id")
                  + "\r\nX-Worker-Id: "
                  + id
                  + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        kept = behaviour.serve(this, request, body, socket, socket.getOutputStream());
      }
    } catch (IOException e) {
      // the entry has closed the connection
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Returns the head of a whole answer, signed. */
  static String ok(Head request, int length) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
        + request.get("X-Attempt-Id")
        + "\r\nX-Worker-Signature: sig."
        + request.get("X-Attempt-Id")
        + "\r\nContent-Type: text/plain\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  /** Returns the head of a stream, signed, sent in chunks. */
  static String stream(Head request) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
        + request.get("X-Attempt-Id")
        + "\r\nX-Worker-Signature: sig."
        + request.get("X-Attempt-Id")
        + "\r\nContent-Type: text/event-stream\r\nX-Confidence: 90"
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  static String event(long id, String data) {
    return chunk("id: " + id + "\ndata: " + data + "\n\n");
  }
}
