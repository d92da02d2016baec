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
 * {@code GUAVAGW_CALLER_PORT}; the flag takes precedence. Not thread-safe.
 */
final class EntryOptions {
  private static final int MAX_PORT = 65_535;
  private static final int MIN_SECRET_CHARS = 16;
  private static final String ENVIRONMENT_PREFIX = "GUAVAGW_";

  @Option(name = "--id", usage = "unique id of the entry")
  private String id = "";

  @Option(name = "--data-centre", usage = "data centre of the entry")
  private String dataCentre = "";

  @Option(name = "--host", usage = "address to listen on, and for peers to connect to")
  private String host = "";

  @Option(name = "--caller-port", usage = "port for callers")
  private int callerPort = 8080;

  @Option(name = "--admin-port", usage = "port of the admin API")
  private int adminPort = 8081;

  @Option(name = "--control-port", usage = "port for connections from peers")
  private int controlPort = 8082;

  @Option(
      name = "--peer-secret",
      usage = "shared secret with which entries authenticate to each other")
  private String peerSecret = "";

  @Option(name = "--admin-token", usage = "token that the admin API requires")
  private String adminToken = "";

  @Option(name = "--worker-threads", usage = "maximum number of requests handled concurrently")
  private int workerThreads = 512;

  @Option(
      name = "--silence-timeout-ms",
      usage = "maximum time without received data on a connection")
  private long silenceTimeoutMs = 10_000;

  @Option(
      name = "--balancer-lag-ms",
      usage = "delay until the load balancer notices a readiness change")
  private long balancerLagMs = 3_000;

  @Option(
      name = "--shutdown-limit-ms",
      usage = "maximum time that a shutdown waits for in-flight requests")
  private long shutdownLimitMs = 900_000;

  @Option(name = "--table-url", usage = "URL of the table service")
  private String tableUrl = "";

  @Option(name = "--object-url", usage = "URL of the object store, including the bucket")
  private String objectUrl = "";

  @Option(name = "--vm-list-url", usage = "URL of the list of entry VMs")
  private String vmListUrl = "";

  @Option(name = "--rating-url", usage = "URL of the rating service")
  private String ratingUrl = "";

  @Option(name = "--weights-url", usage = "URL of the weight store")
  private String weightsUrl = "";

  /** Returns the environment variables as arguments to place before those of the command line. */
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

  /** Returns one error message for each invalid setting. */
  List<String> errors() {
    List<String> errors = new ArrayList<>();
    require(errors, !id.isBlank(), "--id is missing: specify a unique id for each entry");
    require(
        errors,
        !dataCentre.isBlank(),
        "--data-centre is missing: specify the data centre of the entry");
    require(errors, !host.isBlank(), "--host is missing: specify an address that peers can reach");
    checkPort(errors, "--caller-port", callerPort);
    checkPort(errors, "--admin-port", adminPort);
    checkPort(errors, "--control-port", controlPort);
    require(
        errors,
        peerSecret.length() >= MIN_SECRET_CHARS,
        "--peer-secret is shorter than " + MIN_SECRET_CHARS + " characters: use a longer one");
    require(
        errors, workerThreads > 0, "--worker-threads is not above 0: specify a positive number");
    checkMillis(errors, "--silence-timeout-ms", silenceTimeoutMs);
    checkMillis(errors, "--balancer-lag-ms", balancerLagMs);
    checkMillis(errors, "--shutdown-limit-ms", shutdownLimitMs);
    checkUrl(errors, "--table-url", tableUrl);
    checkUrl(errors, "--object-url", objectUrl);
    checkUrl(errors, "--vm-list-url", vmListUrl);
    checkUrl(errors, "--rating-url", ratingUrl);
    checkUrl(errors, "--weights-url", weightsUrl);
    return errors;
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

  private static void checkPort(List<String> errors, String flag, int port) {
    boolean valid = port > 0 && port <= MAX_PORT;
    require(errors, valid, flag + " is not between 1 and " + MAX_PORT + ": choose a free port");
  }

  private static void checkMillis(List<String> errors, String flag, long millis) {
    require(
        errors, millis > 0, flag + " is not above 0: specify a positive number of milliseconds");
  }

  private static void checkUrl(List<String> errors, String flag, String url) {
    require(
        errors,
        isHttpUrl(url),
        flag + " is not an http or https URL: specify the URL of the service");
  }

  private static boolean isHttpUrl(String text) {
    try {
      URI uri = new URI(text);
      return uri.getHost() != null && String.valueOf(uri.getScheme()).matches("https?");
    } catch (URISyntaxException e) {
      return false;
    }
  }

  private static void require(List<String> errors, boolean valid, String error) {
    if (!valid) {
      errors.add(error);
    }
  }
}
