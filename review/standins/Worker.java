import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Scanner;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;

/**
 * A stand-in for a worker of a plain service, run as a process of its own: {@code Worker ID PORT
 * SLOTS QUEUE WORK_MS [ERROR_SHARE GARBLED_SHARE SEED]}. It prints "begin WORKER REQUEST" when it
 * begins to work on a request and "end WORKER REQUEST" when it has done so, or "fail WORKER REQUEST"
 * where it answers 500. The lines "garble" and "sound" on its input begin and end a time in which it
 * sends additional bytes after a share of its complete answers: the first bytes of the same answer.
 */
final class Worker {
  private final String id;
  private final Semaphore slots;
  private final Semaphore room;
  private final long workMillis;
  private final double errorShare;
  private final double garbledShare;
  private final Random random;
  private volatile boolean garbling;
  private int answersSince;
  private int garbledAnswers;

  private Worker(
      String id, int slots, int queue, long workMillis, double errors, double garbled, long seed) {
    this.errorShare = errors;
    this.garbledShare = garbled;
    this.random = new Random(seed);
    this.id = id;
    this.slots = new Semaphore(slots, true);
    this.room = new Semaphore(slots + queue);
    this.workMillis = workMillis;
  }

  public static void main(String[] args) throws IOException {
    Worker worker =
        new Worker(
            args[0],
            Integer.parseInt(args[2]),
            Integer.parseInt(args[3]),
            Long.parseLong(args[4]),
            args.length > 5 ? Double.parseDouble(args[5]) : 0,
            args.length > 6 ? Double.parseDouble(args[6]) : 0,
            args.length > 7 ? Long.parseLong(args[7]) : 0);
    Thread commands = new Thread(worker::obey);
    commands.setDaemon(true);
    commands.start();
    ServerSocket server =
        new ServerSocket(Integer.parseInt(args[1]), 128, InetAddress.getByName("127.0.0.1"));
    System.out.println("listening " + args[0]);
    while (true) {
      Socket socket = server.accept();
      Thread thread = new Thread(() -> worker.serve(socket));
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void obey() {
    try (Scanner lines = new Scanner(System.in)) {
      while (lines.hasNextLine()) {
        boolean garble = lines.nextLine().equals("garble");
        synchronized (this) {
          garbling = garble;
          answersSince = 0;
          garbledAnswers = 0;
        }
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      while (handle(socket)) {
        // one request after the other
      }
    } catch (IOException e) {
      // the caller closed the connection
    }
  }

  private boolean handle(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    OutputStream out = socket.getOutputStream();
    Message request = Message.read(in);
    if (request == null) {
      return false;
    }
    String attempt = request.headers.getOrDefault("x-attempt-id", "");
    String expected = request.headers.getOrDefault("x-expect-worker", id);
    if (!expected.equals(id)) {
      answer(out, "421 Misdirected Request", attempt, "X-Not-Executed: 1\r\n", "");
      return true;
    }
    if (!room.tryAcquire()) {
      answer(out, "503 Service Unavailable", attempt, "X-Not-Executed: 1\r\n", "");
      return true;
    }
    boolean failed = random.nextDouble() < errorShare;
    try {
      slots.acquireUninterruptibly();
      try {
        say("begin", attempt);
        sleep(workMillis);
        say(failed ? "fail" : "end", attempt);
      } finally {
        slots.release();
      }
    } finally {
      room.release();
    }
    String status = failed ? "500 Internal Server Error" : "200 OK";
    String body = (failed ? "failed " : "done ") + attempt;
    answer(out, status, attempt, "X-Worker-Signature: " + id + ".sig\r\n", body);
    if (!failed && mayGarble()) {
      say("garbled", attempt);
      out.write(("HTTP/1.1 " + status).getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
    return true;
  }

  /** Counts an answer; returns whether the share of garbled ones allows another one. */
  private synchronized boolean mayGarble() {
    if (!garbling || garbledAnswers + 1 > garbledShare * (answersSince + 1)) {
      answersSince++;
      return false;
    }
    answersSince++;
    garbledAnswers++;
    return true;
  }

  private void say(String what, String attempt) {
    System.out.println(what + " " + id + " " + attempt + " " + System.currentTimeMillis());
  }

  private static void answer(OutputStream out, String status, String id, String more, String body)
      throws IOException {
    String head =
        "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n" + more + "Content-Length: "
            + body.length() + "\r\n\r\n";
    out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The head and body of an HTTP message with a length or without a body. */
  static final class Message {
    String start;
    final Map<String, String> headers = new TreeMap<>();
    byte[] body = new byte[0];

    static Message read(InputStream in) throws IOException {
      Message message = new Message();
      message.start = line(in);
      if (message.start == null) {
        return null;
      }
      for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
        int colon = line.indexOf(':');
        message.headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
      int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
      message.body = in.readNBytes(length);
      return message.body.length < length ? null : message;
    }

    private static String line(InputStream in) throws IOException {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          return null;
        }
        if (c != '\r') {
          out.write(c);
        }
      }
      return out.toString(StandardCharsets.ISO_8859_1);
    }
  }
}
