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

/** The platform's store, sound: rows, a feed, and writes under a condition. Thread-safe. */
final class Store {
  private final HttpServer server;
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private long version = 1;

  private record Row(String value, long version, boolean removed) {}

  private record Reply(int status, String body) {}

  private interface Handler {
    Reply handle(Map<String, String> query, String body) throws InterruptedException;
  }

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
    server.setExecutor(
        Executors.newCachedThreadPool(
            r -> {
              Thread thread = new Thread(r, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/rows-get", e -> answer(e, this::get));
    server.createContext("/rows-feed", e -> answer(e, this::feed));
    server.createContext("/rows-tx", e -> answer(e, this::transact));
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a row as the operator or a worker would. */
  synchronized void put(String table, String key, String value) {
    version++;
    String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    rows(table).put(key, new Row(base64, version, false));
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
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  private TreeMap<String, Row> rows(String table) {
    return tables.computeIfAbsent(table, t -> new TreeMap<>());
  }

  private synchronized Reply get(Map<String, String> query, String body) {
    StringBuilder out = new StringBuilder();
    rows(query.get("table"))
        .forEach((key, row) -> append(out, query.get("table"), key, row, !row.removed()));
    return new Reply(200, withRows(out, ",\"truncated\":false"));
  }

  private synchronized Reply feed(Map<String, String> query, String body)
      throws InterruptedException {
    long since = Long.parseLong(query.get("since_rev"));
    long deadline = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000L;
    while (true) {
      if (since > version) {
        return new Reply(410, withRows(new StringBuilder(), ""));
      }
      StringBuilder out = new StringBuilder();
      rows(query.get("table"))
          .forEach(
              (key, row) -> append(out, query.get("table"), key, row, row.version() > since));
      long left = (deadline - System.nanoTime()) / 1_000_000L;
      if (out.length() > 0 || left <= 0) {
        return new Reply(200, withRows(out, ""));
      }
      wait(left);
    }
  }

  private static void append(StringBuilder out, String table, String key, Row row, boolean wanted) {
    if (!wanted) {
      return;
    }
    out.append(out.length() == 0 ? "" : ",")
        .append("{\"table\":")
        .append(Json.quote(table))
        .append(",\"part\":\"\",\"key\":")
        .append(Json.quote(key))
        .append(",\"value\":\"")
        .append(row.value())
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

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
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
      reply = handler.handle(query, body);
    } catch (InterruptedException e) {
      reply = new Reply(503, "{}");
    }
    byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", "1");
    exchange.sendResponseHeaders(reply.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
