package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A small deployment on loopback addresses: the store, workers of an engine service and of a ledger
 * service, and machines that run the role of the deploy file. Not thread-safe.
 */
final class Deployment implements AutoCloseable {
  static final String STREAM_PATH = "/lohu930/2f";
  static final String LEDGER_PATH = "/puxa403/2f";
  static final long MEMORY_TOKENS = 474_130;
  static final int MAX_HEADER_BYTES = 16_384;

  static final List<String> ZONES = List.of("kingston", "spanish-town", "may-pen");

  final Record record;
  final Store store;
  final List<Worker> engines = new ArrayList<>();
  final List<Worker> ledgers = new ArrayList<>();
  final List<Entry> entries = new CopyOnWriteArrayList<>();

  private final Path root;
  private final Path folder;
  private final String net;

  /**
   * Starts the store and the workers.
   *
   * @param engineZones the zone of each worker of the engine service
   * @param eventMillis time between the events of a stream
   */
  Deployment(Path root, Record record, List<String> engineZones, int eventMillis)
      throws IOException {
    this.root = root;
    this.record = record;
    this.folder = Files.createTempDirectory("review2-");
    ThreadLocalRandom random = ThreadLocalRandom.current();
    this.net = "127.%d.%d.".formatted(random.nextInt(20, 250), random.nextInt(1, 250));
    this.store = new Store(net + 1);
    store.put("op", "config", config());
    for (int i = 0; i < engineZones.size(); i++) {
      engines.add(
          new Worker(
              "i-engine" + i,
              "huvo11a",
              engineZones.get(i),
              net + (10 + i),
              64,
              MEMORY_TOKENS,
              eventMillis,
              record));
    }
    for (int i = 0; i < 2; i++) {
      ledgers.add(
          new Worker(
              "i-ledger" + i, "wuno96b", ZONES.get(i), net + (40 + i), 6, 0, 0, record));
    }
    // Nothing that was started outlives this process.
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    engines.forEach(w -> w.register(store));
    ledgers.forEach(w -> w.register(store));
  }

  /** Starts a machine in each of some zones; returns whether all are ready in time. */
  boolean start(List<String> zones) throws IOException {
    for (int i = 0; i < zones.size(); i++) {
      String zone = zones.get(i);
      entries.add(
          new Entry(root, folder, "front-" + zone + "-" + i, zone, net + (100 + i), store, record));
    }
    for (Entry entry : entries) {
      if (!entry.awaitReady(20_000)) {
        record.result("%s is not ready", entry.name());
        return false;
      }
    }
    return true;
  }

  private static String config() {
    return """
        {"version":7,"routes":[
        {"name":"r-stream","host":"ficu95.example","prefix":"/lohu930/","route_kind":"streaming",
        "timeout_ms":25000,"slo_ms":1500,"priority":0,"sizes":["daka510000"],"service":"huvo11a",
        "max_attempts":3,"public":false,"sticky":true,"resumable":true,"gap_target_ms":1000},
        {"name":"r-ledger","host":"ficu95.example","prefix":"/puxa403/",
        "route_kind":"non_idempotent","timeout_ms":1500,"slo_ms":121,"priority":1,
        "service":"wuno96b","max_attempts":1,"public":false,"sticky":false,"resumable":false}],
        "services":[{"name":"huvo11a","health_path":"/healthz","max_conns":370,"protocol":"h1",
        "tls":false,"cold_s":3.0,"cold_per_s":13.0,"engine":{"slots":64,"kv_capacity":474130,
        "kv_bytes":163840,"link_mbps":550000.0,"moves":true,"backups":true,"stride":5,"most":12,
        "pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
        "models":[{"name":"daka510000","cost":0.026}]}},
        {"name":"wuno96b","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,
        "cold_s":0.0,"cold_per_s":0.0}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000},
        "tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}
        """;
  }

  @Override
  public synchronized void close() {
    entries.forEach(Entry::close);
    engines.forEach(Worker::close);
    ledgers.forEach(Worker::close);
    store.close();
  }

  /** Says in which folder the logs of the entries are. */
  Path folder() {
    return folder;
  }
}
