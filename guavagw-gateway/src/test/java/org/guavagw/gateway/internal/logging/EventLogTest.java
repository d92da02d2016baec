package org.guavagw.gateway.internal.logging;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class EventLogTest {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final InstantSource clock = InstantSource.fixed(Instant.EPOCH);

  @Test
  void shouldWriteOneLineOfJsonForAnEvent() {
    EventLog log = new EventLog("n1", clock, new PrintStream(bytes, true, StandardCharsets.UTF_8));
    log.event("started").with("port", 8080).with("text", "a\"b").write();
    log.close();
    assertThat(bytes.toString(StandardCharsets.UTF_8))
        .isEqualTo(
            "{\"time\":\"1970-01-01T00:00:00Z\",\"node\":\"n1\",\"event\":\"started\","
                + "\"port\":8080,\"text\":\"a\\\"b\"}\n");
  }

  @Test
  void shouldNotSuppressFailuresAfterManyRoutineLines() {
    EventLog log = new EventLog("n1", clock, new PrintStream(bytes, true, StandardCharsets.UTF_8));
    for (int i = 0; i < 1000; i++) {
      log.event("request").write();
    }
    log.failure("request").with("failed", "yes").write();
    log.close();
    String text = bytes.toString(StandardCharsets.UTF_8);
    assertThat(text.lines().count()).isLessThan(400);
    assertThat(text).contains("\"left_out\":700").contains("\"failed\":\"yes\"");
  }

  @Test
  void shouldFinishWritingLinesBeforeClosing() throws InterruptedException {
    CountDownLatch writing = new CountDownLatch(1);
    PrintStream slow =
        new PrintStream(bytes, true, StandardCharsets.UTF_8) {
          @Override
          public void print(Object text) {
            if (writing.getCount() > 0) {
              writing.countDown();
              Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(100));
            }
            super.print(text);
          }
        };
    EventLog log = new EventLog("n1", clock, slow);
    log.event("started").write();
    writing.await();

    log.close();

    assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("started");
  }

  @Test
  void shouldNotBlockItsCallersIfTheOutputBlocks() throws InterruptedException {
    CountDownLatch unblock = new CountDownLatch(1);
    OutputStream blocked =
        new OutputStream() {
          @Override
          public void write(int b) {
            try {
              unblock.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    EventLog log = new EventLog("n1", clock, new PrintStream(blocked));
    for (int i = 0; i < 20_000; i++) {
      log.failure("request").write();
    }
    assertThat(log.droppedLines()).isPositive();
    unblock.countDown();
    log.close();
  }
}
