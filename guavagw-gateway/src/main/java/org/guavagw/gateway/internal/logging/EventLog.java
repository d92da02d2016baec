package org.guavagw.gateway.internal.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one line of JSON for each event.
 *
 * <p>Never blocks its callers: lines wait in a bounded queue for a thread that writes them, and
 * those that find it full are counted and reported with the next line that fits. Each event has a
 * rate beyond which its lines are left out and counted, so that what went well does not crowd out
 * what failed. Thread-safe.
 */
public final class EventLog implements AutoCloseable {
  /** Lines that may wait; a few seconds of a busy gateway. */
  private static final int MAX_WAITING_LINES = 4096;

  /** Longest wait for the last lines to be written: a small part of a shutdown. */
  private static final Duration CLOSING_PATIENCE = Duration.ofMillis(500);

  private static final JsonFactory JSON = new JsonFactory();

  private final String node;
  private final InstantSource clock;
  private final PrintStream out;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final Map<String, EventRate> rates = new ConcurrentHashMap<>();
  private final Thread writer;

  /** A log of a node to a stream. */
  public EventLog(String node, InstantSource clock, PrintStream out) {
    this.node = node;
    this.clock = clock;
    this.out = out;
    this.writer = new Thread(this::writeLines, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Begins a line; lines of an event beyond its rate are counted and left out. */
  public Line event(String name) {
    return new Line(name, false);
  }

  /** Begins a line on something that went wrong; it is left out only if the queue is full. */
  public Line failure(String name) {
    return new Line(name, true);
  }

  /** Lines that found the queue full so far. */
  public long droppedLines() {
    return dropped.get();
  }

  private void writeLines() {
    try {
      while (true) {
        StringBuilder batch = new StringBuilder(lines.take());
        for (String next = lines.poll(); next != null; next = lines.poll()) {
          batch.append(next);
        }
        out.print(batch);
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes what waits; gives up on a reader that does not read. */
  @Override
  public void close() {
    writer.interrupt();
    awaitWriter();
    StringBuilder rest = new StringBuilder();
    for (String next = lines.poll(); next != null; next = lines.poll()) {
      rest.append(next);
    }
    out.print(rest);
    out.flush();
  }

  /** The lines that the writer has taken come before those that still wait. */
  private void awaitWriter() {
    try {
      writer.join(CLOSING_PATIENCE.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A line in the making. Used by one thread. */
  public final class Line {
    private final StringWriter text = new StringWriter(256);
    private final JsonGenerator json;
    private final String name;
    private final boolean important;

    private Line(String name, boolean important) {
      this.name = name;
      this.important = important;
      try {
        json = JSON.createGenerator(text);
        json.writeStartObject();
        json.writeStringField("time", clock.instant().toString());
        json.writeStringField("node", node);
        json.writeStringField("event", name);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Adds a text. */
    public Line with(String field, String value) {
      try {
        json.writeStringField(field, value);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      return this;
    }

    /** Adds a number. */
    public Line with(String field, long value) {
      try {
        json.writeNumberField(field, value);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      return this;
    }

    /** Queues the line. */
    public void write() {
      EventRate rate = rates.computeIfAbsent(name, n -> new EventRate());
      if (!important && !rate.admits(clock.instant().getEpochSecond())) {
        return;
      }
      try {
        long leftOut = rate.takeLeftOut();
        if (leftOut > 0) {
          json.writeNumberField("left_out", leftOut);
        }
        long lost = dropped.get();
        if (lost > 0) {
          json.writeNumberField("dropped_lines", lost);
        }
        json.writeEndObject();
        json.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      if (!lines.offer(text.append('\n').toString())) {
        dropped.incrementAndGet();
      }
    }
  }
}
