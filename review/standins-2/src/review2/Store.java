package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A sound stand-in for the platform's store: versioned rows, a feed with its whole history and
 * transactions under conditions. Thread-safe.
 */
final class Store implements AutoCloseable {
  private static final int MAX_ROWS = 500;

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool(Threads::daemon);
  private final HttpServer server;
  private long version = 1;

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 256);
    server.setExecutor(threads);
    server.createContext("/rows-get", e -> answer(e, this::read));
    server.createContext("/rows-feed", e -> answer(e, this::feed));
    server.createContext("/rows-tx", e -> answer(e, this::transact));
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** Writes a row as the operator or a worker does. */
  synchronized void put(String table, String key, String value) {
    version++;
    store(table, key, value.getBytes(StandardCharsets.UTF_8));
    notifyAll();
  }

  private void store(String table, String key, byte[] value) {
    tables
        .computeIfAbsent(table, t -> new TreeMap<>())
        .put(key, new Row(Base64.getEncoder().encodeToString(value), version, false));
  }

  /** Removes a row. */
  synchronized void remove(String table, String key) {
    version++;
    tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, new Row("", version, true));
    notifyAll();
  }

  /** Returns the decoded value of a row; empty if it is missing. */
  synchronized String value(String table, String key) {
    Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
    return row == null
        ? ""
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  private synchronized Reply read(Map<String, String> query, String body) {
    List<String> rows = new ArrayList<>();
    boolean truncated = false;
    String from = query.getOrDefault("from", "");
    for (Map.Entry<String, Row> entry :
        tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(from).entrySet()) {
      boolean beyond = query.containsKey("to") && entry.getKey().compareTo(query.get("to")) >= 0;
      if (entry.getValue().removed() || beyond) {
        continue;
      }
      truncated = rows.size() == MAX_ROWS;
      if (truncated) {
        break;
      }
      rows.add(json(query.get("table"), entry.getKey(), entry.getValue()));
    }
    return new Reply(200, rows, ",\"truncated\":" + truncated);
  }

  private synchronized Reply feed(Map<String, String> query, String body)
      throws InterruptedException {
    long since = Long.parseLong(query.get("since_rev"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    while (true) {
      List<String> rows = new ArrayList<>();
      tables.getOrDefault(query.get("table"), new TreeMap<>()).entrySet().stream()
          .filter(e -> e.getValue().version() > since)
          .sorted((a, b) -> Long.compare(a.getValue().version(), b.getValue().version()))
          .forEach(e -> rows.add(json(query.get("table"), e.getKey(), e.getValue())));
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!rows.isEmpty() || left <= 0) {
        return new Reply(200, rows, "");
      }
      wait(left);
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized Reply transact(Map<String, String> query, String body) {
    Map<String, Object> call = (Map<String, Object>) Json.parse(body);
    boolean holds = true;
    List<String> current = new ArrayList<>();
    for (Object item : (List<Object>) call.getOrDefault("expected_rev", List.of())) {
      Map<String, Object> expected = (Map<String, Object>) item;
      String table = (String) expected.get("table");
      String key = (String) expected.get("key");
      Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
      long actual = row == null || row.removed() ? 0 : row.version();
      holds &= actual == ((Number) expected.get("ver")).longValue();
      if (actual > 0) {
        current.add(json(table, key, row));
      }
    }
    if (!holds) {
      return new Reply(412, current, "");
    }
    version++;
    for (Object item : (List<Object>) call.getOrDefault("put", List.of())) {
      Map<String, Object> put = (Map<String, Object>) item;
      byte[] value = Base64.getDecoder().decode((String) put.get("value"));
      store((String) put.get("table"), (String) put.get("key"), value);
    }
    for (Object item : (List<Object>) call.getOrDefault("remove", List.of())) {
      Map<String, Object> dropped = (Map<String, Object>) item;
      tables
          .computeIfAbsent((String) dropped.get("table"), t -> new TreeMap<>())
          .put((String) dropped.get("key"), new Row("", version, true));
    }
    notifyAll();
    return new Reply(200, List.of(), "");
  }

  private static String json(String table, String key, Row row) {
    return "{\"table\":%s,\"part\":\"\",\"key\":%s,\"value\":\"%s\",\"ver\":%d%s}"
        .formatted(
            Json.quote(table),
            Json.quote(key),
            row.value(),
            row.version(),
            row.removed() ? ",\"tombstone\":true" : "");
  }

  private void answer(HttpExchange exchange, Handler handler) throws IOException {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String item : raw == null ? new String[0] : raw.split("&")) {
      String[] pair = item.split("=", 2);
      query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    String body =
        new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    try {
      Reply reply = handler.handle(query, body);
      send(exchange, reply);
    } catch (InterruptedException e) {
      exchange.close();
    }
  }

  private void send(HttpExchange exchange, Reply reply) throws IOException {
    long newest;
    synchronized (this) {
      newest = version;
    }
    byte[] text =
        "{\"rows\":[%s],\"ver\":%d,\"now_ms\":%d%s}"
            .formatted(
                String.join(",", reply.rows()),
                newest,
                System.nanoTime() / 1_000_000,
                reply.more())
            .getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", "1");
    exchange.sendResponseHeaders(reply.status(), text.length);
    exchange.getResponseBody().write(text);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  /** Answers one call. */
  private interface Handler {
    Reply handle(Map<String, String> query, String body) throws InterruptedException;
  }

  /** An answer: its rows, and further JSON fields. */
  private record Reply(int status, List<String> rows, String more) {}

  /** A row at one version; one that was removed is kept for the feed. */
  private record Row(String value, long version, boolean removed) {}
}
