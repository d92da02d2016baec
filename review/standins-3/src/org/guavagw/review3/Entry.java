package org.guavagw.review3;

import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry: a process started with the run command of the deploy file. */
final class Entry {
  static final String LOOPBACK = "127.0.0.1";

  /** Below the ports that the system gives to outgoing connections. */
  private static final int FIRST_PORT = 12000;

  private static final int LAST_PORT = 31000;
  private static final int PORTS_OF_A_RUN = 500;
  private static final int PEER_PORTS = 4;

  /** Keeps the ports of this run from other runs; its own port is the first of them. */
  private static final ServerSocket RESERVATION = reserve();

  private static int nextPort = RESERVATION.getLocalPort() + 1;

  /** Sockets that keep the addresses of machines that are gone from answering. */
  private static final List<Closeable> HELD = new ArrayList<>();

  final String name;
  final int front;
  final int ready;
  final int peers;
  private final Path folder;
  private final Path settings;
  private final int metrics;
  private Process process;
  private static boolean closing;

  Entry(Path folder, String name, String zone, String store, List<String> zones)
      throws IOException {
    this.folder = folder;
    this.name = name;
    this.front = freePorts(1);
    this.ready = freePorts(1);
    this.metrics = freePorts(1);
    this.peers = freePorts(PEER_PORTS);
    this.settings = folder.resolve(name + ".yaml");
    StringBuilder zoneLines = new StringBuilder();
    zones.forEach(z -> zoneLines.append("  ").append(z).append(": \"jm-south\"\n"));
    Files.writeString(
        settings,
        String.join(
            "\n",
            "node_name: \"" + name + "\"",
            "role: \"entry\"",
            "machine_class: \"front\"",
            "serves:",
            "  - \"front\"",
            "ip: \"127.0.0.1\"",
            "zone: \"" + zone + "\"",
            "region: \"jm-south\"",
            "zones:",
            zoneLines + "listen:",
            "  front: \"127.0.0.1:" + front + "\"",
            "  ready: \"127.0.0.1:" + ready + "\"",
            "port_range:",
            "  - " + peers,
            "  - " + (peers + PEER_PORTS - 1),
            "seeds: []",
            "bootstrap: true",
            "limits:",
            "  cpu_share: 0.75",
            "  cores: 1",
            "  memory_mb: 430",
            "  max_fds: 4100",
            "  link_mbps: 1000.0",
            "  disk_mb: 0",
            "discovery: \"platform\"",
            "entry: \"vip\"",
            "heartbeat_ms: 1200",
            "bounds:",
            "  seed_lag_s: 3",
            "  reuse_after_s: 2",
            "  contact_ms: 3000",
            "  ack_ms: 4000",
            "  catch_up_s: 4",
            "  drain_ms: 2000",
            "  grace_s: 8",
            "  loss_slack_ms: 200",
            "  config_ms: 2000",
            "  regression_slack_ms: 250",
            "  outer_ms: 5000",
            "  strict_revoke: true",
            "  revoke_ms: 5000",
            "  retry_ratio: 0.9",
            "  retry_window_s: 10",
            "  retry_slack: 56",
            "  exposure_share: 0.15",
            "  exposure_slack: 30",
            "  rollback_ms: 5000",
            "  cold_overrun: 1.5",
            "  cold_slack: 5",
            "  evacuate_ms: 5000",
            "  recover_s: 12",
            "  pass_ms: 120",
            "  reuse_window_s: 10",
            "  session_s: 5",
            "platform:",
            "  addr: \"" + store + "\"",
            "  form: \"table\"",
            "  writes_per_s: 400",
            "  reads_per_s: 2000",
            "  tx_ms: 5.0",
            "  part_writes_per_s: 200",
            "  row_bytes: 65536",
            "  across: false",
            "  history_s: 20",
            ""));
  }

  private static ServerSocket reserve() {
    for (int first = FIRST_PORT; first < LAST_PORT; first += PORTS_OF_A_RUN) {
      try {
        return new ServerSocket(first, 1, InetAddress.getByName(LOOPBACK));
      } catch (IOException e) {
        // another run has it
      }
    }
    throw new IllegalStateException("no ports are free");
  }

  private static synchronized int freePorts(int count) throws IOException {
    while (nextPort + count <= RESERVATION.getLocalPort() + PORTS_OF_A_RUN) {
      int first = nextPort;
      nextPort += count;
      boolean free = true;
      for (int port = first; port < first + count && free; port++) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), port));
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return first;
      }
    }
    throw new IOException("no ports are left");
  }

  void start() throws IOException {
    List<String> command = new ArrayList<>();
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run command");
    }
    command.addAll(List.of(run.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(command);
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("GUAVAGW_CONFIG", settings.toString());
    environment.put("GUAVAGW_LISTEN", LOOPBACK + ":" + front);
    environment.put("GUAVAGW_PEER_SECRET", "the entries of a test");
    environment.put("GUAVAGW_METRICS_PORT", Integer.toString(metrics));
    File out = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(out));
    synchronized (Entry.class) {
      if (closing) {
        throw new IOException("the run ends");
      }
      process = builder.start();
    }
  }

  /** Starts no process from now on, as those that run are ended. */
  static synchronized void startNoMore() {
    closing = true;
  }

  long pid() {
    return process.pid();
  }

  boolean alive() {
    return process.isAlive();
  }

  int exitCode() {
    return process.isAlive() ? -1 : process.exitValue();
  }

  /** Asks the entry whether it is ready, as the platform does. */
  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection) new URL("http://127.0.0.1:" + ready + "/readyz").openConnection();
      connection.setConnectTimeout(1000);
      connection.setReadTimeout(1000);
      int status = connection.getResponseCode();
      try (InputStream in =
          status < 400 ? connection.getInputStream() : connection.getErrorStream()) {
        in.readAllBytes();
      }
      return status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady() throws InterruptedException, IOException {
    for (int i = 0; i < 150; i++) {
      if (isReady()) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException(name + " is not ready");
  }

  /** Returns the resident memory in megabytes. */
  long residentMb() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
        }
      }
    } catch (IOException e) {
      // it has ended
    }
    return 0;
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Lets connections to the peer ports of this machine, which was removed, hang as on a real network. */
  void goDark() throws IOException {
    for (int port = peers; port <= peers + 1; port++) {
      ServerSocket full = new ServerSocket();
      full.setReuseAddress(true);
      full.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), port), 1);
      HELD.add(full);
      for (int i = 0; i < 4; i++) {
        Socket waiting = new Socket();
        HELD.add(waiting);
        try {
          waiting.connect(full.getLocalSocketAddress(), 50);
        } catch (IOException e) {
          break;
        }
      }
    }
  }

  /** Waits until the process has ended. */
  boolean awaitEnd(int seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS);
  }

  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
  }
}
