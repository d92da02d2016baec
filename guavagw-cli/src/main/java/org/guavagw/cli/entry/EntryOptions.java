package org.guavagw.cli.entry;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.guavagw.EntrySettings;
import org.kohsuke.args4j.Option;

/**
 * Settings of the entry daemon. Each flag is also an environment variable: {@code --caller-port} is
 * {@code GUAVAGW_CALLER_PORT}; the flag goes first. Not thread-safe.
 */
final class EntryOptions {
  private static final int MAX_PORT = 65_535;
  private static final int MIN_SECRET_CHARS = 16;
  private static final String ENVIRONMENT_PREFIX = "GUAVAGW_";

  @Option(name = "--id", usage = "unique name of the entry")
  private String id = "";

  @Option(name = "--data-centre", usage = "data centre of the entry")
  private String dataCentre = "";

  @Option(name = "--host", usage = "address to listen on, and for peers to connect to")
  private String host = "";

  @Option(name = "--caller-port", usage = "port for callers")
  private int callerPort = 8080;

  @Option(name = "--admin-port", usage = "port for operators")
  private int adminPort = 8081;

  @Option(name = "--control-port", usage = "port for other entries")
  private int controlPort = 8082;

  @Option(name = "--peer-secret", usage = "secret that entries prove to one another")
  private String peerSecret = "";

  @Option(name = "--admin-token", usage = "token that operators send")
  private String adminToken = "";

  @Option(name = "--worker-threads", usage = "requests handled at once")
  private int workerThreads = 512;

  @Option(name = "--silence-timeout-ms", usage = "time without a byte that a connection may have")
  private long silenceTimeoutMs = 10_000;

  @Option(name = "--balancer-lag-ms", usage = "how long the balancer lags behind readiness")
  private long balancerLagMs = 3_000;

  @Option(name = "--shutdown-limit-ms", usage = "how long a shutdown waits for requests")
  private long shutdownLimitMs = 900_000;

  @Option(name = "--table-url", usage = "table service")
  private String tableUrl = "";

  @Option(name = "--object-url", usage = "object store, with its bucket")
  private String objectUrl = "";

  @Option(name = "--vm-list-url", usage = "list of entry VMs")
  private String vmListUrl = "";

  @Option(name = "--rating-url", usage = "rating service")
  private String ratingUrl = "";

  @Option(name = "--weights-url", usage = "weight store")
  private String weightsUrl = "";

  /** The environment as arguments that stand before those of the command line. */
  static List<String> argumentsOf(Map<String, String> environment, List<String> flags) {
    List<String> arguments = new ArrayList<>();
    for (String flag : flags) {
      String name =
          ENVIRONMENT_PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
      String value = environment.get(name);
      if (value != null) {
        arguments.add(flag);
        arguments.add(value);
      }
    }
    return arguments;
  }

  /** One line for each setting that cannot be used. */
  List<String> faults() {
    List<String> faults = new ArrayList<>();
    require(faults, !id.isBlank(), "--id is missing: give each entry a unique name");
    require(faults, !dataCentre.isBlank(), "--data-centre is missing: name the entry's own");
    require(faults, !host.isBlank(), "--host is missing: give an address that peers reach");
    checkPort(faults, "--caller-port", callerPort);
    checkPort(faults, "--admin-port", adminPort);
    checkPort(faults, "--control-port", controlPort);
    require(
        faults,
        peerSecret.length() >= MIN_SECRET_CHARS,
        "--peer-secret is shorter than " + MIN_SECRET_CHARS + " characters: use a longer one");
    require(faults, workerThreads > 0, "--worker-threads is not above 0: give a number above 0");
    checkMillis(faults, "--silence-timeout-ms", silenceTimeoutMs);
    checkMillis(faults, "--balancer-lag-ms", balancerLagMs);
    checkMillis(faults, "--shutdown-limit-ms", shutdownLimitMs);
    checkUrl(faults, "--table-url", tableUrl);
    checkUrl(faults, "--object-url", objectUrl);
    checkUrl(faults, "--vm-list-url", vmListUrl);
    checkUrl(faults, "--rating-url", ratingUrl);
    checkUrl(faults, "--weights-url", weightsUrl);
    return faults;
  }

  EntrySettings toSettings() {
    return EntrySettings.builder(id, dataCentre)
        .host(host)
        .callerPort(callerPort)
        .adminPort(adminPort)
        .controlPort(controlPort)
        .peerSecret(peerSecret)
        .adminToken(adminToken)
        .workerThreads(workerThreads)
        .silenceTimeout(Duration.ofMillis(silenceTimeoutMs))
        .balancerLag(Duration.ofMillis(balancerLagMs))
        .shutdownLimit(Duration.ofMillis(shutdownLimitMs))
        .build();
  }

  URI tableUrl() {
    return URI.create(tableUrl);
  }

  URI objectUrl() {
    return URI.create(objectUrl);
  }

  URI vmListUrl() {
    return URI.create(vmListUrl);
  }

  URI ratingUrl() {
    return URI.create(ratingUrl);
  }

  URI weightsUrl() {
    return URI.create(weightsUrl);
  }

  private static void checkPort(List<String> faults, String flag, int port) {
    boolean valid = port > 0 && port <= MAX_PORT;
    require(faults, valid, flag + " is not between 1 and " + MAX_PORT + ": choose a free port");
  }

  private static void checkMillis(List<String> faults, String flag, long millis) {
    require(faults, millis > 0, flag + " is not above 0: give milliseconds");
  }

  private static void checkUrl(List<String> faults, String flag, String url) {
    require(faults, isHttpUrl(url), flag + " is not an http or https URL: name the service");
  }

  private static boolean isHttpUrl(String text) {
    try {
      URI uri = new URI(text);
      return uri.getHost() != null && String.valueOf(uri.getScheme()).matches("https?");
    } catch (URISyntaxException e) {
      return false;
    }
  }

  private static void require(List<String> faults, boolean holds, String fault) {
    if (!holds) {
      faults.add(fault);
    }
  }
}
