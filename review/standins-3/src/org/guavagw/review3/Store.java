package org.guavagw.review3;

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
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;

/** The platform's store, sound: rows, a feed, and writes under a condition. Thread-safe. */
final class Store {
  private final HttpServer server;
  private final UnaryOperator<String> noChange = value -> value;
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private long version = 1;
  private long era = 1;
  private boolean away;

  /** A copy of all rows, to which the store can be restored. */
  static final class Copy {
    private final Map<String, TreeMap<String, Row>> tables;
    private final long version;

    private Copy(Map<String, TreeMap<String, Row>> tables, long version) {
      this.tables = tables;
      this.version = version;
    }
  }

  synchronized Copy copy() {
    return new Copy(copyOf(tables), version);
  }

  private static Map<String, TreeMap<String, Row>> copyOf(Map<String, TreeMap<String, Row>> from) {
    Map<String, TreeMap<String, Row>> copies = new HashMap<>();
    from.forEach((name, rows) -> copies.put(name, new TreeMap<>(rows)));
    return copies;
  }

  /** Refuses all calls until {@link #restore}. */
  synchronized void goAway() {
    away = true;
    notifyAll();
  }

  /** Comes back from a copy: versions go back and are given out again, the era rises. */
  synchronized void restore(Copy copy) {
    tables.clear();
    tables.putAll(copyOf(copy.tables));
    version = copy.version;
    era++;
    away = false;
    notifyAll();
  }

  private synchronized boolean isAway() {
    return away;
  }

  private synchronized long era() {
    return era;
  }

  private record Row(String value, long version, boolean removed) {}

  private record Reply(int status, String body) {}

  private interface Handler {
    Reply handle(Map<String, String> query, String body) throws InterruptedException;
  }

  Store() throws IOException {
    server = listen(noChange);
  }

  /**
   * Opens a second address, at which the rows of workers are changed.
   *
   * @param change returns the value of a row of a worker as it is read there
   */
  String openView(UnaryOperator<String> change) throws IOException {
    return "127.0.0.1:" + listen(change).getAddress().getPort();
  }

  private HttpServer listen(UnaryOperator<String> change) throws IOException {
    HttpServer http = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
    http.setExecutor(
        Executors.newCachedThreadPool(
            r -> {
              Thread thread = new Thread(r, "store");
              thread.setDaemon(true);
              return thread;
            }));
    http.createContext("/rows-get", e -> answer(e, (q, b) -> get(q, change)));
    http.createContext("/rows-feed", e -> answer(e, (q, b) -> feed(q, change)));
    http.createContext("/rows-tx", e -> answer(e, this::transact));
    http.start();
    return http;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a row as the operator or a worker would. */
  synchronized void put(String table, String key, String value) {
    version++;
    rows(table).put(key, new Row(encode(value), version, false));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    rows(table).put(key, new Row("", version, true));
    notifyAll();
  }

  /** Returns the value of a row as text; empty if there is none. */
  synchronized String value(String table, String key) {
    Row row = rows(table).get(key);
    return row == null || row.removed()
        ? ""
        : decode(row.value());
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String decode(String base64) {
    return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
  }

  private TreeMap<String, Row> rows(String table) {
    return tables.computeIfAbsent(table, t -> new TreeMap<>());
  }

  private synchronized Reply get(Map<String, String> query, UnaryOperator<String> change) {
    StringBuilder out = new StringBuilder();
    rows(query.get("table"))
        .forEach((key, row) -> append(out, query.get("table"), key, row, !row.removed(), change));
    return new Reply(200, withRows(out, ",\"truncated\":false"));
  }

  private synchronized Reply feed(Map<String, String> query, UnaryOperator<String> change)
      throws InterruptedException {
    long since = Long.parseLong(query.get("since_rev"));
    long deadline = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000L;
    long begunIn = era;
    while (true) {
      if (away || era != begunIn) {
        return new Reply(503, "{}");
      }
      if (since > version) {
        return new Reply(410, withRows(new StringBuilder(), ""));
      }
      StringBuilder out = new StringBuilder();
      rows(query.get("table"))
          .forEach(
              (key, row) -> append(out, query.get("table"), key, row, row.version() > since, change));
      long left = (deadline - System.nanoTime()) / 1_000_000L;
      if (out.length() > 0 || left <= 0) {
        return new Reply(200, withRows(out, ""));
      }
      wait(left);
    }
  }

  private static void append(
      StringBuilder out,
      String table,
      String key,
      Row row,
      boolean wanted,
      UnaryOperator<String> change) {
    if (!wanted) {
      return;
    }
    boolean changed = table.equals("servers") && !row.removed();
    String value = changed ? encode(change.apply(decode(row.value()))) : row.value();
    out.append(out.length() == 0 ? "" : ",")
        .append("{\"table\":")
        .append(Json.quote(table))
        .append(",\"part\":\"\",\"key\":")
        .append(Json.quote(key))
        .append(",\"value\":\"")
        .append(value)
        .append("\",\"ver\":")
        .append(row.version())
        .append(row.removed() ? ",\"tombstone\":true}" : "}");
  }

  private String withRows(StringBuilder rows, String more) {
    return "{\"rows\":[" + rows + "]" + more + stamp() + "}";
  }

  private String stamp() {
    return ",\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000L;
  }

  @SuppressWarnings("unchecked")
  private synchronized Reply transact(Map<String, String> query, String body) {
    Map<String, Object> call = (Map<String, Object>) Json.parse(body);
    for (Object item : (List<Object>) call.getOrDefault("expected_rev", List.of())) {
      Map<String, Object> expected = (Map<String, Object>) item;
      Row row = rows((String) expected.get("table")).get((String) expected.get("key"));
      long actual = row == null || row.removed() ? 0 : row.version();
      if (actual != Long.parseLong((String) expected.get("ver"))) {
        return new Reply(412, withRows(new StringBuilder(), ""));
      }
    }
    version++;
    for (Object item : (List<Object>) call.getOrDefault("put", List.of())) {
      Map<String, Object> put = (Map<String, Object>) item;
      rows((String) put.get("table"))
          .put((String) put.get("key"), new Row((String) put.get("value"), version, false));
    }
    notifyAll();
    return new Reply(200, "{" + stamp().substring(1) + "}");
  }

  private void answer(HttpExchange exchange, Handler handler) throws IOException {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Reply reply;
    try {
      reply = isAway() ? new Reply(503, "{}") : handler.handle(query, body);
    } catch (InterruptedException e) {
      reply = new Reply(503, "{}");
    }
    byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", Long.toString(era()));
    exchange.sendResponseHeaders(reply.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
