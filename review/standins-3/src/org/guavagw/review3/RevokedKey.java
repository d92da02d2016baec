package org.guavagw.review3;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry that starts as the store comes back from a copy that lacks the end of a key. */
final class RevokedKey {
  private static final int GONE = 60;
  private static final int BATCH = 10;
  private static final int DRILLS = 3;
  private static final long REVOKE_MILLIS = 5_000;
  private static final long REWRITE_MILLIS = 4_000;

  private final Deployment deployment = new Deployment("11");
  private final boolean trouble;
  private final AtomicInteger runs = new AtomicInteger();
  private int configVersion = 7;

  private RevokedKey(boolean trouble) throws IOException {
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    int code = 2;
    RevokedKey run = new RevokedKey(!"0".equals(System.getenv("TROUBLE")));
    try (Deployment deployment = run.deployment) {
      code = run.run();
    } catch (IOException e) {
      System.out.println("could not run: " + e);
    }
    System.exit(code);
  }

  private String config(boolean withKey) {
    String guest =
        withKey
            ? Deployment.tenant("guest", Deployment.OTHER_KEY)
            : "{\"name\":\"guest\",\"api_keys\":[]}";
    return Deployment.config(
        configVersion,
        Deployment.tenant("desk", Deployment.KEY) + "," + guest,
        Deployment.LOOKUP_ROUTE);
  }

  private int run() throws Exception {
    deployment.store.put("op", "config", config(true));
    Worker worker = new Worker("i-ledger0", "ledger", this::serve);
    deployment.register(worker, "kingston", 6);
    Entry live = deployment.addEntry("front-kingston-live", "kingston");
    Entry again = deployment.addEntry("front-kingston-again", "kingston");
    live.start();
    again.start();
    live.awaitReady();
    again.awaitReady();
    removeMachines();
    int late = 0;
    for (int i = 0; i < DRILLS; i++) {
      late += drill(worker, again);
    }
    return deployment.end(late > 0, late + " requests with a key that was taken away ran too late");
  }

  /** Starts machines that register, and removes them for good. */
  private void removeMachines() throws Exception {
    for (int begun = 0; begun < GONE; begun += BATCH) {
      List<Entry> batch = new ArrayList<>();
      for (int i = 0; i < BATCH; i++) {
        Entry entry = deployment.addEntry("front-kingston-" + (begun + i), "kingston");
        entry.start();
        batch.add(entry);
      }
      for (Entry entry : batch) {
        for (int i = 0; deployment.store.value("guavagw_entries", entry.name).isEmpty(); i++) {
          if (i > 200) {
            throw new IOException(entry.name + " does not register");
          }
          Thread.sleep(50);
        }
        entry.kill();
        entry.goDark();
      }
    }
    deployment.note(GONE + " machines have registered and are gone for good");
  }

  private int drill(Worker worker, Entry again) throws Exception {
    configVersion++;
    deployment.store.put("op", "config", config(true));
    Thread.sleep(2000);
    Store.Copy copy = deployment.store.copy();
    again.signal("TERM");
    Thread.sleep(500);
    configVersion++;
    deployment.store.put("op", "config", config(false));
    long acknowledged = System.nanoTime();
    deployment.note("version " + configVersion + " takes the key away, acknowledged");
    if (!again.awaitEnd(8)) {
      throw new IOException("the entry does not end in its time");
    }
    while (System.nanoTime() - acknowledged < (REVOKE_MILLIS + 300) * 1_000_000L) {
      Thread.sleep(20);
    }
    again.start();
    if (trouble) {
      deployment.store.goAway();
      Thread.sleep(500);
      deployment.store.restore(copy);
      deployment.register(worker, "kingston", 6);
      deployment.note("the store is back from a copy");
    }
    long back = System.nanoTime();
    int before = runs.get();
    int sent = 0;
    int answered = 0;
    while (System.nanoTime() - back < REWRITE_MILLIS * 1_000_000L) {
      sent++;
      try (Client client = new Client(again.front, 1_000)) {
        client.send(lookup("late-" + configVersion + "-" + sent), new byte[0]);
        answered += client.receive().head().status() == 200 ? 1 : 0;
      } catch (IOException e) {
        // it does not listen yet
      }
      Thread.sleep(10);
    }
    int late = runs.get() - before;
    deployment.note(
        sent
            + " requests with the key, sent over "
            + REVOKE_MILLIS
            + " ms after it was taken away: "
            + late
            + " ran, "
            + answered
            + " answered with 200");
    if (trouble) {
      deployment.store.put("op", "config", config(false));
    }
    again.awaitReady();
    Thread.sleep(1000);
    return late;
  }

  private static String lookup(String id) {
    return "GET /lookup/"
        + id
        + " HTTP/1.1\r\nHost: "
        + Deployment.HOST
        + "\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token "
        + Deployment.OTHER_KEY
        + "\r\n\r\n";
  }

  private boolean serve(Worker worker, Head request, byte[] body, Socket socket, OutputStream out)
      throws IOException {
    if (request.get("X-Attempt-Id").startsWith("late")) {
      runs.incrementAndGet();
    }
    Worker.write(out, Worker.ok(request, 2) + "ok");
    return true;
  }
}
