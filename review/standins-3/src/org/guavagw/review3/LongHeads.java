package org.guavagw.review3;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams of ordinary callers beside a crowd whose requests have many short fields. */
final class LongHeads {
  private static final int WORKERS = 8;
  private static final int GUESTS = 700;
  private static final int ORDINARY = 40;
  private static final int FIELDS = 240;
  private static final int EVENTS = 20;
  private static final long EVENT_MILLIS = 200;
  private static final long WORK_MILLIS = 4000;

  /** Of the rule LOST. */
  private static final int MAX_LOST = 3;

  private final Deployment deployment = new Deployment("12");
  private final boolean trouble;
  private final AtomicInteger runs = new AtomicInteger();
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger ownServed = new AtomicInteger();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final Map<String, Integer> ownOutcomes = new TreeMap<>();
  private volatile boolean stop;

  private LongHeads(boolean trouble) throws IOException {
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    int code = 2;
    LongHeads run = new LongHeads(!"0".equals(System.getenv("TROUBLE")));
    try (Deployment deployment = run.deployment) {
      code = run.run();
    } catch (IOException e) {
      System.out.println("could not run: " + e);
    }
    System.exit(code);
  }

  private int run() throws Exception {
    deployment.store.put(
        "op",
        "config",
        Deployment.config(
            7,
            Deployment.tenant("desk", Deployment.KEY)
                + ","
                + Deployment.tenant("guest", Deployment.OTHER_KEY),
            Deployment.MODEL_ROUTE));
    for (int i = 0; i < WORKERS; i++) {
      deployment.register(
          new Worker("i-model" + i, "model", this::serve), Deployment.ZONES.get(i % 2), 64);
    }
    Entry entry = deployment.addEntry("front-kingston-1", "kingston");
    entry.start();
    entry.awaitReady();
    Thread.sleep(1000);
    for (int i = 0; i < ORDINARY; i++) {
      int number = i;
      Worker.thread(() -> ordinary(entry, number));
    }
    Thread.sleep(5000);
    deployment.note("ordinary: " + ownOutcomes + ", resident " + entry.residentMb() + " MB");
    for (int i = 0; i < GUESTS; i++) {
      int number = i;
      Worker.thread(() -> guest(entry, number));
      if (i % 50 == 49) {
        Thread.sleep(20);
      }
    }
    for (int i = 0; i < 10 && entry.alive(); i++) {
      Thread.sleep(2000);
      note(entry);
    }
    int servedBefore = ownServed.get();
    Thread.sleep(5000);
    note(entry);
    stop = true;
    int served = ownServed.get() - servedBefore;
    boolean broken = lost.get() > MAX_LOST;
    return deployment.end(
        broken,
        (entry.alive() ? "the process runs" : "the process has ended, exit " + entry.exitCode())
            + ", "
            + served
            + " ordinary requests served in the last 5 s, "
            + lost
            + " that a worker ran were cut on a kept connection");
  }

  private void note(Entry entry) {
    long resident = entry.residentMb();
    boolean ready = entry.isReady();
    synchronized (outcomes) {
      deployment.note(
          "guests: "
              + outcomes
              + "; ordinary: "
              + ownOutcomes
              + ", lost "
              + lost
              + "; runs "
              + runs
              + ", resident "
              + resident
              + " MB, alive "
              + entry.alive()
              + ", ready "
              + ready);
    }
  }

  /** A sound worker: ordinary streams take 4 s, those of the guests begin after 4 s. */
  private boolean serve(Worker worker, Head request, byte[] body, Socket socket, OutputStream out)
      throws IOException, InterruptedException {
    runs.incrementAndGet();
    ran.add(request.get("X-Attempt-Id"));
    if (!request.get("X-Attempt-Id").startsWith("own")) {
      Thread.sleep(WORK_MILLIS);
      Worker.write(out, Worker.stream(request) + Worker.event(1, "a") + "0\r\n\r\n");
      return true;
    }
    Worker.write(out, Worker.stream(request));
    for (int i = 1; i <= EVENTS; i++) {
      Thread.sleep(EVENT_MILLIS);
      Worker.write(out, Worker.event(i, "part " + i));
    }
    Worker.write(out, "0\r\n\r\n");
    return true;
  }

  private void count(Map<String, Integer> map, String outcome) {
    synchronized (outcomes) {
      map.merge(outcome, 1, Integer::sum);
    }
  }

  private void guest(Entry entry, int number) {
    StringBuilder fields = new StringBuilder();
    for (int i = 0; i < (trouble ? FIELDS : 3); i++) {
      fields.append("X-Field-").append(i).append(": ").append("v".repeat(40)).append("\r\n");
    }
    try (Client client = new Client(entry.front, 20_000)) {
      client.send(
          request("guest" + number, Deployment.OTHER_KEY, "a:100,d" + number + ":50", fields),
          new byte[0]);
      count(outcomes, Integer.toString(client.receive().head().status()));
    } catch (IOException e) {
      count(outcomes, String.valueOf(e.getMessage()));
    }
  }

  /** Sends ordinary requests on kept connections, one after the other. */
  private void ordinary(Entry entry, int number) {
    int next = 0;
    while (!stop && entry.alive()) {
      String id = "";
      boolean kept = false;
      try (Client client = new Client(entry.front, 20_000)) {
        while (!stop) {
          id = "own-" + number + "-" + next++;
          client.send(request(id, Deployment.KEY, "b:100,c" + next + ":50", ""), new byte[0]);
          int status = client.receive().head().status();
          count(ownOutcomes, Integer.toString(status));
          if (status == 200) {
            ownServed.incrementAndGet();
          }
          kept = true;
          Thread.sleep(100);
        }
      } catch (IOException e) {
        count(ownOutcomes, String.valueOf(e.getMessage()));
        boolean timedOut = e instanceof SocketTimeoutException;
        if (kept && !timedOut && ran.contains(id)) {
          lost.incrementAndGet();
        }
      } catch (InterruptedException e) {
        return;
      }
      try {
        Thread.sleep(500);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static String request(String id, String key, String prompt, CharSequence fields) {
    return "POST /model/a HTTP/1.1\r\nHost: "
        + Deployment.HOST
        + "\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Model: *\r\nX-Token-Counts: 150,20\r\nX-Prompt-Prefix: "
        + prompt
        + "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Token "
        + key
        + "\r\n"
        + fields
        + "Content-Length: 0\r\n\r\n";
  }
}
