import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry of the system, started with the command of the deploy file as a process of its own. */
final class Entry implements AutoCloseable {
  final String ip;
  final int front;
  final int ready;
  final Process process;

  private Entry(String ip, int front, int ready, Process process) {
    this.ip = ip;
    this.front = front;
    this.ready = ready;
    this.process = process;
  }

  /** Starts an entry; N sets its name and its loopback address. */
  static Entry start(Path folder, int n, String zone, int storePort) throws IOException {
    long pid = ProcessHandle.current().pid();
    // An address of its own for each entry and run: the port of the metrics is the same for all.
    String ip = "127." + (1 + pid % 200) + "." + (pid / 200 % 250) + "." + n;
    int front = freePort(ip);
    int ready = freePort(ip);
    int peer = freePairOfPorts(ip);
    Path settings = folder.resolve("entry-" + n + ".yaml");
    Files.writeString(settings, settings(n, ip, zone, front, ready, peer, storePort));
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run command in the deploy file");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.environment().put("GUAVAGW_CONFIG", settings.toString());
    builder.environment().put("GUAVAGW_LISTEN", ip + ":" + front);
    File log = folder.resolve("entry-" + n + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    return new Entry(ip, front, ready, started(builder.start()));
  }

  /** Ends a process with this one, also where this one is ended from outside. */
  private static Process started(Process process) {
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    return process;
  }

  private static String settings(
      int n, String ip, String zone, int front, int ready, int peer, int storePort) {
    return String.join(
        "\n",
        "node_name: \"front-" + zone + "-" + n + "\"",
        "role: \"entry\"",
        "machine_class: \"front\"",
        "serves: [\"front\"]",
        "ip: \"" + ip + "\"",
        "zone: \"" + zone + "\"",
        "region: \"jm-south\"",
        "zones: {kingston: \"jm-south\", spanish-town: \"jm-south\"}",
        "listen: {front: \"" + ip + ":" + front + "\", ready: \"" + ip + ":" + ready + "\"}",
        "port_range: [" + peer + ", " + (peer + 1) + "]",
        "bootstrap: true",
        "limits: {cpu_share: 0.75, cores: 1, memory_mb: 430, max_fds: 4100}",
        "discovery: \"platform\"",
        "entry: \"vip\"",
        "heartbeat_ms: 1200",
        "fault_tolerance: {machines: 2, zones: 1, regions: 0}",
        "bounds: {contact_ms: 3000, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200,"
            + " config_ms: 2000, strict_revoke: true, revoke_ms: 5000, retry_ratio: 0.9,"
            + " retry_window_s: 10, retry_slack: 56, exposure_share: 0.15, exposure_slack: 30,"
            + " rollback_ms: 5000, session_s: 5}",
        "platform: {addr: \"127.0.0.1:" + storePort + "\", form: \"table\", history_s: 20}",
        "");
  }

  /** Waits until the entry says that it is ready. */
  boolean awaitReady(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end && process.isAlive()) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ip, ready), 200);
        socket.setSoTimeout(500);
        socket
            .getOutputStream()
            .write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        Worker.Message answer = Worker.Message.read(socket.getInputStream());
        if (answer != null && answer.start.contains(" 200 ")) {
          return true;
        }
      } catch (IOException e) {
        // not yet
      }
      Worker.sleep(50);
    }
    return false;
  }

  void signal(String name) throws IOException, InterruptedException {
    signal(process, name);
  }

  static void signal(Process process, String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  private static int freePairOfPorts(String ip) throws IOException {
    while (true) {
      int port = freePort(ip);
      try (ServerSocket next = new ServerSocket(port + 1, 1, InetAddress.getByName(ip))) {
        return next.getLocalPort() - 1;
      } catch (IOException e) {
        // the following port is taken
      }
    }
  }

  /** Starts a worker of a plain service as a process of its own, whose output goes to a file. */
  static Process startWorker(
      Path out, String id, int port, int slots, int queue, long workMillis, String... more)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add("java");
    command.addAll(List.of("-Xmx64m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
    command.addAll(List.of("-cp", "review/target", "Worker", id, Integer.toString(port)));
    command.addAll(
        List.of(Integer.toString(slots), Integer.toString(queue), Long.toString(workMillis)));
    command.addAll(List.of(more));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(out.toFile()));
    return started(builder.start());
  }

  static boolean awaitPort(String ip, int port, long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ip, port), 200);
        return true;
      } catch (IOException e) {
        Worker.sleep(20);
      }
    }
    return false;
  }

  static void end(Process process) {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    end(process);
  }
}
