import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A client smuggles a request in the body of another one. */
final class Case3 {
  private static final List<String> FRAMINGS =
      List.of(
          "Transfer-Encoding: xchunked",
          "Transfer-Encoding: identity",
          "Transfer-Encoding: gzip",
          "Transfer-Encoding: \"chunked\"",
          "Transfer-Encoding:");

  private final boolean trouble;
  private final Record record;
  private final Path runs;
  private final Store store;
  private final List<String> smuggled = new ArrayList<>();
  private Process worker;
  private Entry entry;

  private Case3(boolean trouble, Record record, Path runs, Store store) {
    this.trouble = trouble;
    this.record = record;
    this.runs = runs;
    this.store = store;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("guavagw-review");
    Path runs = Files.createFile(folder.resolve("runs"));
    int status = 2;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store()) {
      Case3 play = new Case3(trouble, record, runs, store);
      try {
        status = play.run(folder);
      } catch (IOException e) {
        record.say("the case could not run: %s", e);
      } finally {
        play.end();
        record.addRuns(runs);
        record.say("result: %d", status);
      }
    }
    System.exit(status);
  }

  private int run(Path folder) throws Exception {
    store.put("op", "config", Deployment.config(3));
    int port = Entry.freePort("127.0.0.1");
    worker = Entry.startWorker(runs, "i-7f3a91c2", port, 6, 24, 20);
    Entry.awaitPort("127.0.0.1", port, 5000);
    store.put("servers", "i-7f3a91c2", Deployment.server(port, "kingston", "ready", 1, 1));
    entry = Entry.start(folder, 1, "kingston", store.port());
    if (!entry.awaitReady(20_000)) {
      record.say("the entry did not become ready");
      return 2;
    }
    Worker.sleep(1500);
    for (int i = 0; i < FRAMINGS.size(); i++) {
      send("outer-" + i, "smuggled-" + i, FRAMINGS.get(i));
    }
    Worker.sleep(500);
    return judge();
  }

  private void send(String id, String inner, String framing) throws IOException {
    String body = request(inner, "Content-Length: 0");
    String used = trouble ? framing : "Content-Length: " + body.length();
    smuggled.add(inner);
    record.say("sent %s: POST /confirm/bundle, \"%s\"; its body holds %s", id, used, inner);
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
      socket.setSoTimeout(2000);
      byte[] bytes = (request(id, used) + body).getBytes(StandardCharsets.ISO_8859_1);
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
      try {
        Worker.Message answer = Worker.Message.read(socket.getInputStream());
        while (answer != null) {
          String of = answer.headers.get("x-attempt-id");
          record.say("answer on the connection of %s: %s, X-Attempt-Id %s", id, answer.start, of);
          answer = Worker.Message.read(socket.getInputStream());
        }
        record.say("the connection of %s was closed", id);
      } catch (SocketTimeoutException e) {
        record.say("nothing more on the connection of %s", id);
      }
    }
  }

  private static String request(String id, String framing) {
    return "POST /confirm/bundle HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token " + Deployment.KEY + "\r\n" + framing
        + "\r\n\r\n";
  }

  private int judge() throws IOException {
    Set<String> never = Set.copyOf(smuggled);
    int broken = 0;
    int ran = 0;
    for (String line : Files.readAllLines(runs)) {
      String[] words = line.split(" ");
      if (!words[0].equals("begin")) {
        continue;
      }
      ran++;
      if (never.contains(words[2])) {
        broken++;
        record.say("UNASKED: %s ran, which no client sent but in a body", words[2]);
      }
    }
    record.say("requests that ran: %d, of which smuggled: %d", ran, broken);
    return broken > 0 ? 1 : !trouble && ran < FRAMINGS.size() ? 2 : 0;
  }

  private void end() {
    if (worker != null) {
      Entry.end(worker);
    }
    if (entry != null) {
      entry.close();
    }
  }
}
