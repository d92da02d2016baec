package org.guavagw.gateway.internal.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.RowVersion;
import org.guavagw.gateway.spi.StoreFailure;
import org.guavagw.gateway.spi.StoredRow;

/**
 * A store in virtual time, of which each entry has a client that can be cut off or whose pending
 * calls can be silenced. Confined to one event loop.
 */
final class SimulatedStore {
  private static final Duration CALL_TIME = Duration.ofMillis(4);

  /** Time beyond the wait of a poll after which a client gives up a call. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1200);

  private final EventLoop loop;
  private final ManualClock clock;
  private final Map<String, Map<String, StoredRow>> tables = new TreeMap<>();
  private final List<Poll> polls = new ArrayList<>();
  private final Set<String> cutOff = new HashSet<>();
  private final Set<String> refused = new HashSet<>();
  private long version;
  private int calls;

  SimulatedStore(EventLoop loop, ManualClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /** Returns the client of an entry. */
  ControlStore client(String entry) {
    return new Client(entry);
  }

  /** Returns the calls so far. */
  int calls() {
    return calls;
  }

  void put(String table, String key, String value) {
    put(table, key, value.getBytes(UTF_8));
  }

  private void put(String table, String key, byte[] value) {
    apply(table, new StoredRow(key, value, ++version, false));
  }

  void remove(String table, String key) {
    apply(table, new StoredRow(key, new byte[0], ++version, true));
  }

  private void apply(String table, StoredRow row) {
    rows(table).put(row.key(), row);
    List.copyOf(polls).stream()
        .filter(p -> p.table.equals(table) && polls.remove(p))
        .forEach(Poll::answer);
  }

  private Map<String, StoredRow> rows(String table) {
    return tables.computeIfAbsent(table, t -> new TreeMap<>());
  }

  /** Lets no call of an entry through any more, nor any answer. */
  void cutOff(String entry) {
    cutOff.add(entry);
    silence(entry);
  }

  void heal(String entry) {
    cutOff.remove(entry);
    refused.remove(entry);
  }

  /** Refuses all calls of an entry from now on, and the pending ones. */
  void refuse(String entry) {
    refused.add(entry);
    List.copyOf(polls).stream()
        .filter(p -> p.entry.equals(entry) && polls.remove(p))
        .forEach(p -> p.answer.completeExceptionally(refusal()));
  }

  private static StoreFailure refusal() {
    return new StoreFailure(StoreFailure.Kind.REFUSED, "refused");
  }

  /** Loses the answers of the calls of an entry that are pending now. */
  void silence(String entry) {
    polls.removeIf(p -> p.entry.equals(entry));
  }

  /** Loses the answer of the call of an entry that waits for changes of a table. */
  void silence(String entry, String table) {
    polls.removeIf(p -> p.entry.equals(entry) && p.table.equals(table));
  }

  private RowBatch batch(List<StoredRow> rows) {
    return new RowBatch(rows, 0, version, TimeUnit.NANOSECONDS.toMillis(clock.read()));
  }

  private void after(Duration delay, Runnable task) {
    var unused = loop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** The calls of one entry. */
  private final class Client implements ControlStore {
    private final String entry;
    private boolean closed;

    Client(String entry) {
      this.entry = entry;
    }

    @Override
    public CompletableFuture<RowBatch> readAll(String table) {
      CompletableFuture<RowBatch> answer = call(CALL_TIMEOUT);
      reach(
          answer,
          () ->
              answer.complete(
                  batch(rows(table).values().stream().filter(r -> !r.removed()).toList())));
      return answer;
    }

    @Override
    public CompletableFuture<RowBatch> changesSince(String table, long since, Duration wait) {
      CompletableFuture<RowBatch> answer = call(wait.plus(CALL_TIMEOUT));
      reach(
          answer,
          () -> {
            Poll poll = new Poll(entry, table, since, answer);
            if (poll.hasChanges()) {
              poll.answer();
              return;
            }
            polls.add(poll);
            after(
                wait,
                () -> {
                  if (polls.remove(poll)) {
                    poll.answer();
                  }
                });
          });
      return answer;
    }

    @Override
    public CompletableFuture<Long> putIf(
        RowVersion expected, byte[] value, List<RowVersion> unchanged) {
      CompletableFuture<Long> answer = call(CALL_TIMEOUT);
      reach(
          answer,
          () -> {
            StoredRow row = rows(expected.table()).get(expected.key());
            long actual = row == null || row.removed() ? 0 : row.version();
            if (actual == expected.version()) {
              put(expected.table(), expected.key(), value);
              answer.complete(0L);
            } else {
              answer.completeExceptionally(
                  new StoreFailure(StoreFailure.Kind.CONFLICT, "changed meanwhile"));
            }
          });
      return answer;
    }

    private <T> CompletableFuture<T> call(Duration timeout) {
      CompletableFuture<T> answer = new CompletableFuture<>();
      if (closed) {
        return answer;
      }
      calls++;
      after(
          timeout,
          () ->
              answer.completeExceptionally(
                  new StoreFailure(StoreFailure.Kind.NO_ANSWER, "no answer in time")));
      return answer;
    }

    private void reach(CompletableFuture<?> answer, Runnable call) {
      after(
          CALL_TIME,
          () -> {
            if (closed) {
              return;
            }
            if (refused.contains(entry)) {
              answer.completeExceptionally(refusal());
            } else if (!cutOff.contains(entry)) {
              call.run();
            }
          });
    }

    @Override
    public void close() {
      closed = true;
      silence(entry);
    }
  }

  /** A call that waits for changes. */
  private final class Poll {
    private final String entry;
    private final String table;
    private final long since;
    private final CompletableFuture<RowBatch> answer;

    Poll(String entry, String table, long since, CompletableFuture<RowBatch> answer) {
      this.entry = entry;
      this.table = table;
      this.since = since;
      this.answer = answer;
    }

    boolean hasChanges() {
      return rows(table).values().stream().anyMatch(r -> r.version() > since);
    }

    void answer() {
      answer.complete(
          batch(
              rows(table).values().stream()
                  .filter(r -> r.version() > since)
                  .sorted((a, b) -> Long.compare(a.version(), b.version()))
                  .toList()));
    }
  }
}
