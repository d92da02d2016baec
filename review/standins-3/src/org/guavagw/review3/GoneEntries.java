package org.guavagw.review3;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry that is partitioned from all workers, in a deployment whose machines were replaced. */
final class GoneEntries {
  private static final int GONE_PER_ZONE = 6;
  private static final int WORKERS = 3;
  private static final long PAUSE_MILLIS = 250;
  private static final long CUT_MILLIS = 13_000;
  private static final long CONTACT_MILLIS = 3_000;

  private final Deployment deployment = new Deployment("13");
  private final boolean trouble;
  private final Tries cut = new Tries();
  private final Tries other = new Tries();
  private volatile boolean measured;
  private volatile boolean stop;

  /** First tries at one entry while they are measured. */
  private static final class Tries {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();

    int failed() {
      return sent.get() - served.get();
    }

    double share() {
      return (double) served.get() / Math.max(1, sent.get());
    }

    @Override
    public String toString() {
      return served + " of " + sent;
    }
  }

  private GoneEntries(boolean trouble) throws IOException {
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    int code = 2;
    GoneEntries run = new GoneEntries(!"0".equals(System.getenv("TROUBLE")));
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
            7, Deployment.tenant("desk", Deployment.KEY), Deployment.LOOKUP_ROUTE));
    List<Link> links = new ArrayList<>();
    List<int[]> ports = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      Worker worker = new Worker("i-ledger" + i, "ledger", this::serve);
      Link link = new Link(worker.server.getLocalPort());
      links.add(link);
      ports.add(new int[] {worker.server.getLocalPort(), link.port()});
      deployment.register(worker, Deployment.ZONES.get(i % 2), 6);
    }
    replaceMachines();
    String view = deployment.store.openView(value -> throughLinks(value, ports));
    Entry a = deployment.addEntry("front-kingston-live", "kingston", view);
    Entry b = deployment.addEntry("front-spanish-town-live", "spanish-town");
    a.start();
    b.start();
    a.awaitReady();
    b.awaitReady();
    Thread.sleep(3000);
    Worker.thread(() -> lookups(a, "a", cut));
    Worker.thread(() -> lookups(b, "b", other));
    measured = true;
    Thread.sleep(3000);
    measured = false;
    Thread.sleep(1200);
    deployment.note("before the cut: at the one entry " + cut + ", at the other " + other);
    if (cut.failed() + other.failed() > 0) {
      throw new IOException("requests fail before the cut");
    }
    cut.sent.set(0);
    cut.served.set(0);
    other.sent.set(0);
    other.served.set(0);
    if (trouble) {
      for (Link link : links) {
        link.cut();
      }
      deployment.note("the links of the one entry to all workers are cut");
    }
    Thread.sleep(CONTACT_MILLIS);
    measured = true;
    Thread.sleep(CUT_MILLIS - CONTACT_MILLIS);
    measured = false;
    stop = true;
    Thread.sleep(1500);
    deployment.note("from 3 s after: at the one entry " + cut + ", at the other " + other);
    int all = cut.sent.get() + other.sent.get();
    boolean broken = cut.share() < other.share() * 2 / 3 && cut.failed() > 10 + all / 50.0;
    return deployment.end(
        broken, cut + " first tries served at the cut entry, " + other + " at the other");
  }

  /** Starts machines and removes them for good, as planned work. */
  private void replaceMachines() throws Exception {
    for (String zone : Deployment.ZONES) {
      List<Entry> removed = new ArrayList<>();
      for (int i = 0; i < GONE_PER_ZONE; i++) {
        Entry entry = deployment.addEntry("front-" + zone + "-" + i, zone);
        entry.start();
        removed.add(entry);
      }
      for (Entry entry : removed) {
        entry.awaitReady();
      }
      Thread.sleep(1500);
      for (Entry entry : removed) {
        entry.signal("TERM");
      }
      for (Entry entry : removed) {
        if (!entry.awaitEnd(8)) {
          throw new IOException(entry.name + " does not end");
        }
      }
    }
    deployment.note(2 * GONE_PER_ZONE + " machines were started and removed for good");
  }

  private static String throughLinks(String value, List<int[]> ports) {
    String changed = value;
    for (int[] pair : ports) {
      changed = changed.replace("127.0.0.1:" + pair[0] + "\"", "127.0.0.1:" + pair[1] + "\"");
    }
    return changed;
  }

  private boolean serve(Worker worker, Head request, byte[] body, Socket socket, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(15);
    Worker.write(out, Worker.ok(request, 2) + "ok");
    return true;
  }

  private void lookups(Entry entry, String prefix, Tries tries) {
    for (int i = 0; !stop; i++) {
      int number = i;
      if (measured) {
        Worker.thread(() -> lookup(entry, prefix + number, tries));
      } else {
        Worker.thread(() -> lookup(entry, prefix + number, new Tries()));
      }
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void lookup(Entry entry, String id, Tries tries) {
    tries.sent.incrementAndGet();
    try (Client client = new Client(entry.front, 1_500)) {
      client.send(
          "GET /lookup/"
              + id
              + " HTTP/1.1\r\nHost: "
              + Deployment.HOST
              + "\r\nX-Attempt-Id: "
              + id
              + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token "
              + Deployment.KEY
              + "\r\n\r\n",
          new byte[0]);
      if (client.receive().head().status() == 200) {
        tries.served.incrementAndGet();
      }
    } catch (IOException e) {
      // not served
    }
  }
}
