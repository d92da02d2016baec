import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** SIGHUP comes while an entry starts. */
final class Case3 {
  private static final int ENTRIES = 4;
  private static final int SIGNALLED = 2;

  /** A tenth of the machines in use, two at least. */
  private static final int MIN_BROKEN = 2;

  private static final int STARTS = 3;

  private final boolean trouble;
  private final Record record;
  private final Store store;
  private final List<Entry> others = new ArrayList<>();
  private Entry entry;

  private Case3(boolean trouble, Record record, Store store) {
    this.trouble = trouble;
    this.record = record;
    this.store = store;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("guavagw-review");
    int status = 2;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store()) {
      Case3 play = new Case3(trouble, record, store);
      try {
        status = play.run(folder);
      } catch (IOException e) {
        record.say("the case could not run: %s", e);
      } finally {
        play.end();
        record.say("result: %d", status);
      }
    }
    System.exit(status);
  }

  private int run(Path folder) throws Exception {
    store.put("op", "config", Deployment.config(3));
    for (int n = SIGNALLED + 1; n <= ENTRIES; n++) {
      others.add(Entry.start(folder, n, "kingston", store.port()));
    }
    int broken = 0;
    for (int n = 1; n <= SIGNALLED; n++) {
      int ends = 0;
      for (int start = 1; start <= STARTS; start++) {
        entry = Entry.start(folder, n, "kingston", store.port());
        long begun = System.nanoTime();
        if (!Entry.awaitPort(entry.ip, entry.front, 10_000)) {
          record.say("entry %d does not listen", n);
          return 2;
        }
        long millis = (System.nanoTime() - begun) / 1_000_000;
        record.say("entry %d, start %d: takes connections after %d ms", n, start, millis);
        if (trouble) {
          entry.signal("HUP");
          record.say("entry %d, start %d: SIGHUP sent", n, start);
        }
        if (entry.process.waitFor(3, TimeUnit.SECONDS)) {
          ends++;
          record.say(
              "entry %d, start %d: the process ended with status %d",
              n, start, entry.process.exitValue());
        } else {
          boolean ready = entry.awaitReady(10_000);
          record.say("entry %d, start %d: runs on, ready: %b", n, start, ready);
        }
        entry.close();
      }
      broken += ends >= STARTS ? 1 : 0;
    }
    record.say("entries whose process ended by itself three times: %d of %d", broken, ENTRIES);
    return broken >= MIN_BROKEN ? 1 : 0;
  }

  private void end() {
    if (entry != null) {
      entry.close();
    }
    others.forEach(Entry::close);
  }
}
