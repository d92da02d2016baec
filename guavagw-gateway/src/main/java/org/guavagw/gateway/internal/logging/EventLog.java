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
 * <p>Never blocks its callers: lines pass through a bounded queue to a writer thread; lines that do
 * not fit are dropped and counted, and every later line reports their total. The lines of each
 * event are limited in rate, so that routine events do not crowd out failures; suppressed lines are
 * counted, and the next line of the event reports their number. Thread-safe.
 */
public final class EventLog implements AutoCloseable {
  /** Capacity of the queue; a few seconds of output of a busy gateway. */
  private static final int MAX_QUEUED_LINES = 4096;

  /** Maximum wait for the writer on close; a small part of the shutdown limit. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(500);

  /** How long lines are gathered before they are written: each write wakes a thread. */
  private static final Duration BATCH_TIME = Duration.ofMillis(50);

  private static final JsonFactory JSON = new JsonFactory();

  private final String node;
  private final InstantSource clock;
  private final PrintStream out;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final Map<String, EventRateLimiter> limiters = new ConcurrentHashMap<>();
  private final Thread writer;

  /** Creates a log of a node that writes to a stream. */
  public EventLog(String node, InstantSource clock, PrintStream out) {
    this.node = node;
    this.clock = clock;
    this.out = out;
    this.writer = new Thread(this::writeLines, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Starts a line; lines beyond the rate limit of their event are suppressed and counted. */
  public Line event(String name) {
    return new Line(name, false);
  }

  /**
   * Starts a line about a failure, which is exempt from the rate limit; dropped only if the queue
   * is full.
   */
  public Line failure(String name) {
    return new Line(name, true);
  }

  /** Returns the number of lines dropped so far because the queue was full. */
  public long droppedLines() {
    return dropped.get();
  }

  private void writeLines() {
    StringBuilder taken = new StringBuilder();
    try {
      while (true) {
        taken.append(lines.take());
        Thread.sleep(BATCH_TIME.toMillis());
        writeWithQueued(taken);
      }
    } catch (InterruptedException e) {
      writeWithQueued(taken);
      Thread.currentThread().interrupt();
    }
  }

  private void writeWithQueued(StringBuilder taken) {
    for (String next = lines.poll(); next != null; next = lines.poll()) {
      taken.append(next);
    }
    out.print(taken);
    out.flush();
    taken.setLength(0);
  }

  /** Writes the queued lines; waits for a blocked writer thread only up to a time limit. */
  @Override
  public void close() {
    writer.interrupt();
    awaitWriter();
    writeWithQueued(new StringBuilder());
  }

  /** Lets the writer finish the lines it has taken, which precede those still queued. */
  private void awaitWriter() {
    try {
      writer.join(CLOSE_TIMEOUT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A line under construction. Confined to one thread. */
  public final class Line {
    private final StringWriter text = new StringWriter(256);
    private final JsonGenerator json;
    private final String name;
    private final boolean failure;

    private Line(String name, boolean failure) {
      this.name = name;
      this.failure = failure;
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

    /** Adds a string field. */
    public Line with(String field, String value) {
      try {
        json.writeStringField(field, value);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      return this;
    }

    /** Adds a number field. */
    public Line with(String field, long value) {
      try {
        json.writeNumberField(field, value);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      return this;
    }

    /** Completes the line and adds it to the queue. */
    public void write() {
      EventRateLimiter limiter = limiters.computeIfAbsent(name, n -> new EventRateLimiter());
      if (!failure && !limiter.tryAcquire(clock.instant().getEpochSecond())) {
        return;
      }
      try {
        long suppressed = limiter.takeSuppressed();
        if (suppressed > 0) {
          json.writeNumberField("left_out", suppressed);
        }
        long droppedLines = dropped.get();
        if (droppedLines > 0) {
          json.writeNumberField("dropped_lines", droppedLines);
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
