import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A worker crashes while requests that may run once wait for their answers there. */
final class Case1 {
  private static final int CRASHES = 3;
  private static final int CLIENTS = 30;
  private static final long WORK_MILLIS = 150;
  private static final long CRASH_AFTER_MILLIS = 200;
  private static final long DOWN_MILLIS = 4000;

  private final boolean trouble;
  private final Record record;
  private final Path runs;
  private final Store store;
  private final int workerPort;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private Process worker;
  private Entry entry;
  private int faults;

  private Case1(boolean trouble, Record record, Path runs, Store store) throws IOException {
    this.trouble = trouble;
    this.record = record;
    this.runs = runs;
    this.store = store;
    this.workerPort = Entry.freePort("127.0.0.1");
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("guavagw-review");
    Path runs = Files.createFile(folder.resolve("runs"));
    int status = 2;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store()) {
      Case1 play = new Case1(trouble, record, runs, store);
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
    startWorker();
    entry = Entry.start(folder, 1, "kingston", store.port());
    if (!entry.awaitReady(20_000)) {
      record.say("the entry did not become ready");
      return 2;
    }
    Worker.sleep(1500);
    for (int crash = 1; crash <= CRASHES; crash++) {
      if (!round(crash)) {
        return 2;
      }
      Worker.sleep(1000);
    }
    record.say("answers that belonged to no request or to another one: %d", faults);
    return faults > 0 ? 1 : 0;
  }

  private void startWorker() throws IOException {
    worker = Entry.startWorker(runs, "i-7f3a91c2", workerPort, 6, 24, WORK_MILLIS);
    Entry.awaitPort("127.0.0.1", workerPort, 5000);
    String row =
        Deployment.server(workerPort, "kingston", "ready", System.currentTimeMillis(), 1);
    store.put("servers", "i-7f3a91c2", row);
  }

  private boolean round(int crash) throws Exception {
    try (Client client = new Client(entry.ip, entry.front)) {
      for (int i = 0; i < 4; i++) {
        confirm(client, "c" + crash + "-before-" + i);
      }
    }
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(new Client(entry.ip, entry.front));
    }
    List<Future<?>> calls = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String id = "c" + crash + "-confirm-" + i;
      Client client = clients.get(i);
      calls.add(threads.submit((Callable<Void>) () -> confirm(client, id)));
    }
    Worker.sleep(CRASH_AFTER_MILLIS);
    if (trouble) {
      record.say("crash %d: SIGKILL of the worker", crash);
      Entry.signal(worker, "KILL");
      worker.waitFor();
    }
    for (Future<?> call : calls) {
      call.get();
    }
    if (trouble) {
      // The registration of a worker that is silent goes after three heartbeats.
      Worker.sleep(3600);
      store.remove("servers", "i-7f3a91c2");
      Worker.sleep(DOWN_MILLIS - 3600);
      startWorker();
    } else {
      Worker.sleep(DOWN_MILLIS);
    }
    if (!awaitService(crash)) {
      record.say("the service did not come back");
      return false;
    }
    for (int i = 0; i < CLIENTS; i++) {
      lookUp(clients.get(i), "c" + crash + "-lookup-" + i);
    }
    for (Client client : clients) {
      client.close();
    }
    return true;
  }

  private Void confirm(Client client, String id) throws IOException {
    record.say("sent %s: POST /confirm/bundle, no body", id);
    Worker.Message answer = client.call("POST", "/confirm/bundle", id, "");
    record.say("answer to %s: %s", id, text(answer));
    return null;
  }

  private boolean awaitService(int crash) throws IOException {
    for (int i = 0; i < 30; i++) {
      try (Client client = new Client(entry.ip, entry.front)) {
        String id = "c" + crash + "-probe-" + i;
        Worker.Message answer = client.call("GET", "/stock/bundle", id, "");
        if (answer != null && answer.start.contains(" 200 ")) {
          return true;
        }
      }
      Worker.sleep(100);
    }
    return false;
  }

  /** Sends two more requests on a kept connection, one after the other, and judges the answers. */
  private void lookUp(Client client, String name) {
    for (int i = 1; i <= 2; i++) {
      String id = name + "-" + i;
      try {
        record.say("sent %s: GET /stock/bundle, on the kept connection", id);
        Worker.Message answer = client.call("GET", "/stock/bundle", id, "");
        record.say("answer to %s: %s", id, text(answer));
        if (answer == null) {
          return;
        }
        String stated = answer.headers.getOrDefault("x-attempt-id", id);
        if (answer.start.contains(" 200 ") && !stated.equals(id)) {
          faults++;
          record.say("MIXED: the answer to %s is that of %s", id, stated);
        }
      } catch (IOException e) {
        record.say("answer to %s: %s", id, e);
        return;
      }
    }
  }

  private static String text(Worker.Message answer) {
    return answer == null
        ? "the connection was closed"
        : answer.start + ", X-Attempt-Id " + answer.headers.get("x-attempt-id") + ", body "
            + new String(answer.body);
  }

  private void end() {
    threads.shutdownNow();
    if (worker != null) {
      Entry.end(worker);
    }
    if (entry != null) {
      entry.close();
    }
  }
}
