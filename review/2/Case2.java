import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker sends additional bytes after some of its complete answers. */
final class Case2 {
  private static final int WORKERS = 3;
  private static final int CLIENTS = 8;
  private static final long WORK_MILLIS = 15;
  private static final String ERROR_SHARE = "0.14";
  private static final String GARBLED_SHARE = "0.03";
  private static final int GARBLED_TIMES = 3;
  private static final long GARBLED_MILLIS = 5500;
  private static final long SOUND_MILLIS = 5500;
  private static final long PAUSE_MILLIS = 10;

  private final boolean trouble;
  private final Record record;
  private final Path runs;
  private final Store store;
  private final List<Process> workers = new ArrayList<>();
  private final Map<String, String> successes = new ConcurrentHashMap<>();
  private final AtomicInteger answers = new AtomicInteger();
  private volatile boolean over;
  private Entry entry;

  private Case2(boolean trouble, Record record, Path runs, Store store) {
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
      Case2 play = new Case2(trouble, record, runs, store);
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
    for (int i = 0; i < WORKERS; i++) {
      String id = "i-7f3a91c" + i;
      int port = Entry.freePort("127.0.0.1");
      workers.add(
          Entry.startWorker(
              runs, id, port, 6, 24, WORK_MILLIS, ERROR_SHARE, GARBLED_SHARE, "" + (i + 1)));
      Entry.awaitPort("127.0.0.1", port, 5000);
      long born = System.currentTimeMillis();
      store.put("servers", id, Deployment.server(port, "kingston", "ready", born, 1));
    }
    entry = Entry.start(folder, 1, "kingston", store.port());
    if (!entry.awaitReady(20_000)) {
      record.say("the entry did not become ready");
      return 2;
    }
    Worker.sleep(1500);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String name = "lookup-" + i;
      Thread client = new Thread(() -> ask(name));
      client.start();
      clients.add(client);
    }
    for (int i = 0; i < GARBLED_TIMES; i++) {
      tell(trouble ? "garble" : "sound");
      Worker.sleep(GARBLED_MILLIS);
      tell("sound");
      Worker.sleep(SOUND_MILLIS);
    }
    over = true;
    for (Thread client : clients) {
      client.join(5000);
    }
    return judge();
  }

  /** Gives an order to the first worker. */
  private void tell(String order) throws IOException {
    record.say("worker i-7f3a91c0: %s", order);
    workers.get(0).getOutputStream().write((order + "\n").getBytes(StandardCharsets.US_ASCII));
    workers.get(0).getOutputStream().flush();
  }

  /** Sends one request after the other on a kept connection, until the play is over. */
  private void ask(String name) {
    int number = 0;
    while (!over) {
      try (Client client = new Client(entry.ip, entry.front)) {
        boolean open = true;
        while (open && !over) {
          String id = name + "-" + number++;
          Worker.Message answer = client.call("GET", "/stock/bundle", id, "");
          answers.incrementAndGet();
          open = answer != null && !"close".equalsIgnoreCase(answer.headers.get("connection"));
          String text = answer == null ? "closed" : answer.start + ", " + new String(answer.body);
          record.say("answer to %s: %s", id, text);
          if (answer != null && answer.start.contains(" 200 ")) {
            successes.put(id, new String(answer.body));
          }
          Worker.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        record.say("%s: %s", name, e);
      }
    }
  }

  private int judge() throws IOException {
    Set<String> succeeded = new HashSet<>();
    Map<String, String> failed = new HashMap<>();
    int garbled = 0;
    for (String line : Files.readAllLines(runs)) {
      String[] words = line.split(" ");
      if (words[0].equals("end")) {
        succeeded.add(words[2]);
      } else if (words[0].equals("fail")) {
        failed.put(words[2], words[1]);
      } else if (words[0].equals("garbled")) {
        garbled++;
      }
    }
    int broken = 0;
    for (Map.Entry<String, String> success : successes.entrySet()) {
      String id = success.getKey();
      if (!succeeded.contains(id)) {
        broken++;
        record.say(
            "MIXED: %s got 200 with the body \"%s\"; %s had answered it with 500",
            id, success.getValue(), failed.get(id));
      }
    }
    record.say("%d answers, %d of them followed by additional bytes", answers.get(), garbled);
    record.say("failures that clients got as successes: %d", broken);
    return answers.get() == 0 ? 2 : broken > 0 ? 1 : 0;
  }

  private void end() {
    over = true;
    workers.forEach(Entry::end);
    if (entry != null) {
      entry.close();
    }
  }
}
