import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Pattern;

/** A stand-in for the platform's store with its rows, feed and conditional transactions. */
final class Store implements AutoCloseable {
  private record Row(String value, long ver, boolean removed) {}

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });
  private final HttpServer server;
  private final Map<String, String> otherPaths = new HashMap<>();
  private HttpServer secondServer;
  private long version = 1;
  private long era = 1;
  private boolean away;

  Store() throws IOException {
    server = listen();
  }

  private HttpServer listen() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
    HttpServer http = HttpServer.create(any, 0);
    http.setExecutor(threads);
    http.createContext("/", this::handle);
    http.start();
    return http;
  }

  /**
   * Opens a second port of the same store, for entries whose path to the workers leads through
   * proxies: there, rows name other addresses.
   *
   * @param proxies the address that stands for each address of a worker
   */
  int openSecondPort(Map<String, String> proxies) throws IOException {
    otherPaths.putAll(proxies);
    secondServer = listen();
    return secondServer.getAddress().getPort();
  }

  /** Returns a value with the addresses that the entries of the second port use. */
  private String withOtherPaths(String base64) {
    String text = new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    for (Map.Entry<String, String> path : otherPaths.entrySet()) {
      text = text.replace("\"" + path.getKey() + "\"", "\"" + path.getValue() + "\"");
    }
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  int port() {
    return server.getAddress().getPort();
  }

  synchronized void put(String table, String key, String json) {
    version++;
    set(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    rows(table).put(key, new Row("", version, true));
    notifyAll();
  }

  /** A copy of all rows, from which the store can come back. */
  record Copy(Map<String, TreeMap<String, Row>> tables, long version) {}

  synchronized Copy copy() {
    Map<String, TreeMap<String, Row>> rows = new HashMap<>();
    tables.forEach((name, table) -> rows.put(name, new TreeMap<>(table)));
    return new Copy(rows, version);
  }

  /** Answers all calls with 503 from now on. */
  synchronized void goAway() {
    away = true;
    notifyAll();
  }

  /** Comes back from a copy: what was written since is gone, and the era rises. */
  synchronized void comeBack(Copy copy) {
    tables.clear();
    copy.tables().forEach((name, table) -> tables.put(name, new TreeMap<>(table)));
    version = copy.version();
    era++;
    away = false;
    notifyAll();
  }

  private TreeMap<String, Row> rows(String table) {
    return tables.computeIfAbsent(table, t -> new TreeMap<>());
  }

  private void set(String table, String key, String base64) {
    rows(table).put(key, new Row(base64, version, false));
  }

  private void handle(HttpExchange exchange) throws IOException {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    int[] status = {200};
    String answer;
    switch (isAway() ? "away" : exchange.getRequestURI().getPath()) {
      case "/rows-get" -> answer = read(query);
      case "/rows-feed" -> answer = feed(query, status);
      case "/rows-tx" -> answer = write(body, status);
      default -> {
        status[0] = 503;
        answer = "{}";
      }
    }
    if (secondServer != null
        && exchange.getLocalAddress().getPort() == secondServer.getAddress().getPort()) {
      answer =
          Pattern.compile("\"value\":\"([^\"]*)\"")
              .matcher(answer)
              .replaceAll(m -> "\"value\":\"" + withOtherPaths(m.group(1)) + "\"");
    }
    byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", Long.toString(era()));
    exchange.sendResponseHeaders(status[0], bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private synchronized String read(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    StringBuilder out = new StringBuilder();
    rows(query.get("table"))
        .tailMap(from)
        .forEach((key, row) -> out.append(row.removed() ? "" : json(key, row)));
    return answer(out);
  }

  private synchronized boolean isAway() {
    return away;
  }

  private synchronized long era() {
    return era;
  }

  private synchronized String feed(Map<String, String> query, int[] status) {
    long since = Long.parseLong(query.get("since_rev"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    long eraAtStart = era;
    while (true) {
      if (away || era != eraAtStart) {
        status[0] = 503;
        return "{}";
      }
      if (since > version) {
        status[0] = 410;
        return answer(new StringBuilder());
      }
      StringBuilder out = new StringBuilder();
      rows(query.get("table"))
          .forEach((key, row) -> out.append(row.ver() > since ? json(key, row) : ""));
      long left = (end - System.nanoTime()) / 1_000_000;
      if (out.length() > 0 || left <= 0) {
        return answer(out);
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        return answer(out);
      }
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized String write(String body, int[] status) {
    Map<String, Object> call = (Map<String, Object>) Json.parse(body);
    for (Object o : (List<Object>) call.getOrDefault("expected_rev", List.of())) {
      Map<String, Object> expected = (Map<String, Object>) o;
      Row row = rows((String) expected.get("table")).get((String) expected.get("key"));
      long actual = row == null || row.removed() ? 0 : row.ver();
      if (actual != ((Number) expected.get("ver")).longValue()) {
        status[0] = 412;
        return answer(new StringBuilder());
      }
    }
    version++;
    for (Object o : (List<Object>) call.getOrDefault("put", List.of())) {
      Map<String, Object> put = (Map<String, Object>) o;
      set((String) put.get("table"), (String) put.get("key"), (String) put.get("value"));
    }
    for (Object o : (List<Object>) call.getOrDefault("remove", List.of())) {
      Map<String, Object> gone = (Map<String, Object>) o;
      rows((String) gone.get("table")).put((String) gone.get("key"), new Row("", version, true));
    }
    notifyAll();
    return answer(new StringBuilder());
  }

  private static String json(String key, Row row) {
    return String.format(
        "{\"key\":%s,\"value\":\"%s\",\"ver\":%d,\"tombstone\":%b},",
        Json.quote(key), row.value(), row.ver(), row.removed());
  }

  private String answer(StringBuilder rows) {
    String list = rows.length() == 0 ? "" : rows.substring(0, rows.length() - 1);
    return String.format(
        "{\"rows\":[%s],\"truncated\":false,\"ver\":%d,\"now_ms\":%d}",
        list, version, System.nanoTime() / 1_000_000);
  }

  @Override
  public void close() {
    server.stop(0);
    if (secondServer != null) {
      secondServer.stop(0);
    }
    threads.shutdownNow();
  }
}
