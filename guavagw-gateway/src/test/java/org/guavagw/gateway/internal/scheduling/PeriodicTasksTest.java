package org.guavagw.gateway.internal.scheduling;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.logging.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeriodicTasksTest {
  private static final int RUNS = 3;

  private final DefaultEventLoop eventLoop = new DefaultEventLoop();
  private final PrintStream logged = new PrintStream(new ByteArrayOutputStream(), true, UTF_8);
  private final EventLog log = new EventLog("test", InstantSource.system(), logged);

  @AfterEach
  void stop() {
    eventLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  @Test
  void shouldRunATaskAgainThatFailed() throws Exception {
    CountDownLatch runs = new CountDownLatch(RUNS);

    new PeriodicTasks(eventLoop, log)
        .runEvery(
            Duration.ofMillis(1),
            () -> {
              runs.countDown();
              throw new IllegalStateException("as intended");
            });

    assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
  }
}
