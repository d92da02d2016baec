import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client to an entry. */
final class Client implements AutoCloseable {
  private final Socket socket = new Socket();
  private final String key;

  Client(String ip, int port) throws IOException {
    this(ip, port, Deployment.KEY);
  }

  Client(String ip, int port, String key) throws IOException {
    this.key = key;
    socket.connect(new InetSocketAddress(ip, port), 1000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(4000);
  }

  /** Sends a request and returns its answer; null if the connection was closed without one. */
  Worker.Message call(String method, String path, String id, String body) throws IOException {
    send(method, path, id, body);
    return Worker.Message.read(socket.getInputStream());
  }

  void send(String method, String path, String id, String body) throws IOException {
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token " + key + "\r\n"
            + (method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "")
            + "\r\n";
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  Worker.Message read() throws IOException {
    return Worker.Message.read(socket.getInputStream());
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
