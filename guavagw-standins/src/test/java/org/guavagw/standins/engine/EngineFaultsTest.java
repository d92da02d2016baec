package org.guavagw.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import okhttp3.Response;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.engine.EngineClient.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineFaultsTest {
  private static final VersionRef VERSION = VersionRef.parse(EngineClient.MODEL);
  private static final int LONG_ANSWER = 1_000_000;
  private static final BatchSettings SLOW =
      BatchSettings.withShortDelays()
          .withSlots(1, 0)
          .withDelays(Duration.ZERO, Duration.ofMillis(20));

  private EngineStandIn engine;
  private EngineClient client;

  @AfterEach
  void close() {
    engine.close();
  }

  @Test
  void shouldRefuseAndCountRequestsOverColdSlots() throws IOException {
    start(settings().withBatch(SLOW.withSlots(4, 4)).withColdStart(coldUntil(1)));
    try (Response held = client.start(client.chat("r1", true, LONG_ANSWER)).execute()) {
      Reply refused = client.send(client.chat("r2", true, 8));

      assertThat(held.header("X-Engine-State")).isEqualTo("cold");
      assertThat(refused.status()).isEqualTo(503);
      assertThat(refused.header("x-not-run")).isEqualTo("true");
      assertThat(engine.coldOverloads()).isEqualTo(1);
      assertThat(engine.log().executionsOf("r2")).isEmpty();
    }
  }

  @Test
  void shouldTurnWarmAfterEnoughRequestsAndGetANewBootIdWhenColdAgain() {
    start(settings().withColdStart(coldUntil(1)));
    Reply first = client.send(client.chat("r1", false, 8));
    Reply second = client.send(client.chat("r2", false, 8));
    engine.turnCold();
    Reply third = client.send(client.chat("r3", false, 8));

    assertThat(List.of(first, second, third))
        .extracting(r -> r.header("x-engine-state"))
        .containsExactly("cold", "warm", "cold");
    assertThat(third.header("x-boot-id")).isNotEqualTo(second.header("x-boot-id"));
  }

  @Test
  void shouldRefuseWhenTheQueueIsFullOrTheVersionIsNotLoaded() throws IOException {
    start(settings().withBatch(SLOW));
    try (Response held = client.start(client.chat("r1", true, LONG_ANSWER)).execute()) {
      Reply full = client.send(client.chat("r2", true, 8));
      Reply unloaded = client.send(client.chat("report@v9", "r3", true, 8));

      assertThat(held.isSuccessful()).isTrue();
      assertThat(List.of(full.status(), unloaded.status())).containsExactly(503, 409);
      assertThat(List.of(full, unloaded))
          .extracting(r -> r.header("x-not-run"))
          .containsOnly("true");
    }
  }

  @Test
  void shouldResetAStreamAndResumeItAfterTheLastChunk() {
    start(settings());
    engine.faults().injectNext(new AnswerFault(AnswerFault.Kind.RESET, 3));
    assertThatThrownBy(() -> client.call(client.chat("r1", true, 8)))
        .isInstanceOf(IOException.class);

    Reply rest = client.send(client.chat("r1", true, 8).header("X-Resume-Offset", "3"));

    String head = AnswerText.complete("r1", EngineClient.PROMPT, 3, 1);
    String text = head + rest.streamedText();
    assertThat(AnswerText.isComplete("r1", EngineClient.PROMPT, 8, text)).isTrue();
    assertThat(engine.log().executionsOf("r1"))
        .extracting(Execution::outcome)
        .containsExactly(Outcome.FAILED, Outcome.FINISHED);
  }

  @Test
  void shouldNotResumeARequestFromBeforeAColdStart() {
    start(settings());
    client.send(client.chat("r1", true, 8));
    engine.turnCold();

    Reply refused = client.send(client.chat("r1", true, 8).header("X-Resume-Offset", "3"));

    assertThat(refused.status()).isEqualTo(409);
    assertThat(refused.header("x-not-run")).isEqualTo("true");
  }

  @Test
  void shouldEndATruncatedAnswerWithoutEndMarker() {
    start(settings());
    engine.faults().injectNext(new AnswerFault(AnswerFault.Kind.HALF_ANSWER, 3));

    Reply truncated = client.send(client.chat("r1", true, 8));

    assertThat(truncated.body())
        .contains("id: 3\n")
        .doesNotContain("id: 4\n")
        .doesNotContain("[DONE]");
  }

  @Test
  void shouldAnswerWithTheIdAndTextOfAnotherRequest() {
    start(settings());
    client.send(client.chat("r1", true, 8));
    engine.faults().injectNext(new AnswerFault(AnswerFault.Kind.CROSSED, 0));

    Reply crossed = client.send(client.chat("r2", true, 8));

    assertThat(crossed.body()).contains("\"id\":\"r1\"").doesNotContain("\"id\":\"r2\"");
    assertThat(AnswerText.isComplete("r1", EngineClient.PROMPT, 8, crossed.streamedText()))
        .isTrue();
  }

  @Test
  void shouldKeepOldConnectionsSilentWhileNewOnesWork() throws IOException {
    start(settings().withBatch(SLOW.withSlots(4, 4)));
    try (Response first = client.start(client.chat("r1", true, LONG_ANSWER)).execute()) {
      engine.silenceOpenConnections();
      Reply second = client.send(client.chat("r2", true, 4));

      assertThat(second.body()).contains("[DONE]");
      assertThatThrownBy(() -> first.body().string()).isInstanceOf(SocketTimeoutException.class);
    }
  }

  @Test
  void shouldCancelWhenTheCallerClosesTheConnection() throws Exception {
    start(settings().withBatch(SLOW));
    CountDownLatch cancelled = latchOn(Outcome.CANCELLED);

    client.start(client.chat("r1", true, LONG_ANSWER)).execute().close();

    assertThat(cancelled.await(5, TimeUnit.SECONDS)).isTrue();
    assertThat(engine.disconnects()).isEqualTo(1);
  }

  @Test
  void shouldCancelARunningRequest() throws Exception {
    start(settings().withBatch(SLOW));
    try (Response held = client.start(client.chat("r1", true, LONG_ANSWER)).execute()) {
      Reply reply = client.send(client.request("/v1/requests/r1").delete());

      assertThat(reply.status()).isEqualTo(202);
      assertThat(held.body().string()).doesNotContain("[DONE]");
      assertThat(engine.log().executionsOf("r1"))
          .extracting(Execution::outcome)
          .containsExactly(Outcome.CANCELLED);
    }
  }

  @Test
  void shouldFailWithoutAStatementWhetherTheRequestRan() {
    start(settings());
    engine.faults().failAfterRun(true);

    Reply failed = client.send(client.chat("r1", true, 8));

    assertThat(failed.status()).isEqualTo(500);
    assertThat(failed.headers()).doesNotContainKey("x-not-run");
    assertThat(engine.log().executionsOf("r1")).hasSize(1);
  }

  @Test
  void shouldRefuseConnectionsAfterACrashAndRestartColdOnTheSamePort() {
    start(settings().withColdStart(coldUntil(1)));
    client.send(client.chat("r1", false, 8));
    engine.crash();
    assertThatThrownBy(() -> client.call(client.chat("r2", false, 8)))
        .isInstanceOf(IOException.class);
    engine.restart();

    assertThat(client.send(client.chat("r3", false, 8)).header("x-engine-state")).isEqualTo("cold");
  }

  private CountDownLatch latchOn(Outcome outcome) {
    CountDownLatch latch = new CountDownLatch(1);
    engine
        .log()
        .addListener(
            e -> {
              if (e.outcome() == outcome) {
                latch.countDown();
              }
            });
    return latch;
  }

  private static EngineSettings settings() {
    return EngineSettings.fast("e1", VERSION);
  }

  private static ColdStartSettings coldUntil(int requests) {
    return new ColdStartSettings(1, requests, Duration.ZERO);
  }

  private void start(EngineSettings settings) {
    engine = new EngineStandIn(settings);
    client = new EngineClient(engine.port());
  }
}
