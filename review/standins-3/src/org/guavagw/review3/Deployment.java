package org.guavagw.review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A store, workers and entries of a small deployment, and the record of a run. */
final class Deployment implements AutoCloseable {
  /** A run may take 120 s. */
  private static final long MAX_MILLIS = 112_000;

  static final String HOST = "desk.example";
  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final String OTHER_KEY = "anfqasnmgkcuyj8pjbvk";
  static final List<String> ZONES = List.of("kingston", "spanish-town");

  static final String MODEL_ROUTE =
      "{\"name\":\"r-model\",\"host\":\"desk.example\",\"prefix\":\"/model/\","
          + "\"route_kind\":\"streaming\",\"timeout_ms\":25000,\"slo_ms\":1500,\"priority\":0,"
          + "\"sizes\":[\"m0\"],\"service\":\"model\",\"max_attempts\":3,\"public\":false,"
          + "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":1000}";

  static final String CONFIRM_ROUTE =
      "{\"name\":\"r-confirm\",\"host\":\"desk.example\",\"prefix\":\"/confirm/\","
          + "\"route_kind\":\"non_idempotent\",\"timeout_ms\":800,\"slo_ms\":100,\"priority\":2,"
          + "\"service\":\"ledger\",\"max_attempts\":1,\"public\":false,\"sticky\":false,"
          + "\"resumable\":false}";

  static final String LOOKUP_ROUTE =
      "{\"name\":\"r-lookup\",\"host\":\"desk.example\",\"prefix\":\"/lookup/\","
          + "\"route_kind\":\"idempotent\",\"timeout_ms\":800,\"slo_ms\":100,\"priority\":2,"
          + "\"service\":\"ledger\",\"max_attempts\":2,\"public\":false,\"sticky\":false,"
          + "\"resumable\":false}";

  private static final String SERVICES =
      "[{\"name\":\"model\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\","
          + "\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":13.0,\"engine\":{\"slots\":64,"
          + "\"kv_capacity\":474130,\"kv_bytes\":163840,\"models\":[{\"name\":\"m0\","
          + "\"cost\":0.026}]}},{\"name\":\"ledger\",\"health_path\":\"/healthz\","
          + "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,"
          + "\"cold_per_s\":0.0}]";

  final Store store = new Store();
  final List<Entry> entries = new ArrayList<>();
  private final Path folder;
  private final long begin = System.nanoTime();
  private final StringBuilder record = new StringBuilder();
  private final Path recordFile;

  Deployment(String caseFolder) throws IOException {
    folder = Files.createTempDirectory("guavagw-review");
    recordFile = Path.of("review", caseFolder, "record.txt");
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    Worker.thread(this::limitTime);
  }

  static String config(int version, String tenants, String... routes) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + String.join(",", routes)
        + "],\"services\":"
        + SERVICES
        + ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
        + tenants
        + "]}";
  }

  static String tenant(String name, String... keys) {
    return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + String.join("\",\"", keys) + "\"]}";
  }

  Entry addEntry(String name, String zone) throws IOException {
    return addEntry(name, zone, store.address());
  }

  Entry addEntry(String name, String zone, String storeAddress) throws IOException {
    Entry entry = new Entry(folder, name, zone, storeAddress, ZONES);
    entries.add(entry);
    return entry;
  }

  void register(Worker worker, String zone, int slots) {
    store.put("servers", worker.id, worker.row(zone, slots, 1));
  }

  /** Writes a line of the record. */
  synchronized void note(String line) {
    String text = (System.nanoTime() - begin) / 1_000_000L + " ms  " + line;
    record.append(text).append('\n');
    System.out.println(text);
  }

  /** Ends the run: writes the record and returns the exit code. */
  synchronized int end(boolean broken, String why) throws IOException {
    note((broken ? "BROKEN: " : "held: ") + why);
    Files.writeString(recordFile, record.toString());
    return broken ? 1 : 0;
  }

  /** Ends a run that takes too long as one that could not run. */
  private void limitTime() {
    try {
      Thread.sleep(MAX_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    System.out.println("could not run: it takes too long");
    System.exit(2);
  }

  private void killAll() {
    Entry.startNoMore();
    for (Entry entry : entries) {
      try {
        entry.kill();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  Path folder() {
    return folder;
  }

  @Override
  public void close() throws IOException {
    killAll();
    if (System.getenv("KEEP") != null) {
      System.out.println("kept " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files
          .sorted(Comparator.reverseOrder())
          .forEach(
              path -> {
                try {
                  Files.delete(path);
                } catch (IOException e) {
                  // left to the system's own clean-up of temporary files
                }
              });
    }
  }
}
