package review2;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A machine of the class front that runs the role of the deploy file, on a loopback address of its
 * own. A process that ends by itself is started again, as the platform does. Not thread-safe but
 * for the counters.
 */
final class Entry implements AutoCloseable {
  private static final int FRONT_PORT = 8227;
  private static final int READY_PORT = 8220;
  private static final long RESTART_MILLIS = 500;

  private final Path root;
  private final Path folder;
  private final String name;
  private final String ip;
  private final Record record;
  private final List<Double> ownEnds = new ArrayList<>();
  private volatile Process process;
  private volatile boolean stopped;
  private volatile boolean disturbed;
  private int starts;
  private volatile long peakMemoryMegabytes;

  Entry(Path root, Path folder, String name, String zone, String ip, Store store, Record record)
      throws IOException {
    this.root = root;
    this.folder = folder;
    this.name = name;
    this.ip = ip;
    this.record = record;
    Files.writeString(folder.resolve(name + ".yaml"), settings(zone, store));
    launch();
    Threads.start(this::watch);
  }

  private String settings(String zone, Store store) {
    return """
        node_name: "%1$s"
        role: "entry"
        machine_class: "front"
        serves:
          - "front"
        ip: "%2$s"
        zone: "%3$s"
        region: "jm-south"
        zones:
          kingston: "jm-south"
          spanish-town: "jm-south"
          may-pen: "jm-south"
        listen:
          front: "%2$s:%4$d"
          ready: "%2$s:%5$d"
        port_range:
          - 7340
          - 7355
        bootstrap: true
        limits:
          cpu_share: 0.75
          cores: 1
          memory_mb: 430
          max_fds: 4100
          link_mbps: 1000.0
          disk_mb: 0
        data_dir: null
        heartbeat_ms: 1200
        bounds:
          contact_ms: 3000
          drain_ms: 2000
          grace_s: 8
          loss_slack_ms: 200
          config_ms: 2000
          strict_revoke: true
          revoke_ms: 5000
          retry_ratio: 0.9
          retry_window_s: 10
          retry_slack: 56
          exposure_share: 0.15
          exposure_slack: 30
          rollback_ms: 5000
          session_s: 5
        platform:
          addr: "%6$s:%7$d"
          form: "table"
          row_bytes: 65536
          history_s: 20
        """
        .formatted(
            name,
            ip,
            zone,
            FRONT_PORT,
            READY_PORT,
            store.address().getAddress().getHostAddress(),
            store.address().getPort());
  }

  private synchronized void launch() throws IOException {
    if (stopped) {
      return;
    }
    starts++;
    File log = folder.resolve(name + "-" + starts + ".log").toFile();
    ProcessBuilder builder =
        new ProcessBuilder(runCommand()).directory(root.toFile()).redirectErrorStream(true);
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("GUAVAGW_CONFIG", folder.resolve(name + ".yaml").toString());
    environment.put("GUAVAGW_LISTEN", ip + ":" + FRONT_PORT);
    process = builder.redirectOutput(log).start();
    record.line("start %s pid %d", name, process.pid());
  }

  /** Returns the command of the role in the deploy file. */
  private List<String> runCommand() throws IOException {
    String file = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(file);
    if (!run.find()) {
      throw new IOException("the deploy file has no run command");
    }
    return List.of(run.group(1).split(" "));
  }

  /** Starts the process again when it has ended by itself, and samples its memory. */
  private void watch() {
    while (!stopped) {
      Threads.sleep(100);
      peakMemoryMegabytes = Math.max(peakMemoryMegabytes, memoryMegabytes());
      if (process.isAlive() || stopped) {
        continue;
      }
      if (!disturbed) {
        synchronized (ownEnds) {
          ownEnds.add(record.seconds());
        }
        record.result("%s ended by itself with exit code %d", name, process.exitValue());
      }
      Threads.sleep(RESTART_MILLIS);
      try {
        launch();
      } catch (IOException e) {
        record.result("%s does not start: %s", name, e);
        return;
      }
    }
  }

  private long memoryMegabytes() {
    try (Stream<String> lines =
        Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
      return lines
          .filter(l -> l.startsWith("VmRSS:"))
          .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024)
          .findFirst()
          .orElse(0);
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** Returns how often the process ended although nobody stopped it. */
  int ownEnds() {
    synchronized (ownEnds) {
      return ownEnds.size();
    }
  }

  long peakMemoryMegabytes() {
    return peakMemoryMegabytes;
  }

  String name() {
    return name;
  }

  InetSocketAddress front() {
    return new InetSocketAddress(ip, FRONT_PORT);
  }

  /** Asks as the platform does whether the machine takes new connections. */
  boolean isReady() {
    try {
      URL url = new URL("http://" + ip + ":" + READY_PORT + "/readyz");
      HttpURLConnection connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(1000);
      connection.setReadTimeout(1000);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits until the machine is ready; returns whether it is. */
  boolean awaitReady(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() - end < 0) {
      if (isReady()) {
        return true;
      }
      Threads.sleep(100);
    }
    return false;
  }

  /** Returns the lines of its logs that hold a text. */
  List<String> logLines(String text) throws IOException {
    List<String> found = new ArrayList<>();
    for (int i = 1; i <= starts; i++) {
      Path log = folder.resolve(name + "-" + i + ".log");
      if (Files.exists(log)) {
        Files.readAllLines(log, java.nio.charset.StandardCharsets.ISO_8859_1).stream()
            .filter(l -> l.contains(text))
            .forEach(found::add);
      }
    }
    return found;
  }

  /** Sends a signal to the process; an end that follows is not its own. */
  void signal(String signal) {
    disturbed = true;
    record.line("signal %s to %s", signal, name);
    try {
      new ProcessBuilder("kill", String.format(Locale.ROOT, "-%s", signal), "" + process.pid())
          .start()
          .waitFor(2, TimeUnit.SECONDS);
    } catch (IOException e) {
      record.result("cannot signal: %s", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public synchronized void close() {
    stopped = true;
    Process last = process;
    last.destroyForcibly();
    try {
      last.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
