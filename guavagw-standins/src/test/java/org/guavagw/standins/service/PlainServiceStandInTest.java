package org.guavagw.standins.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.time.Duration;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PlainServiceStandInTest {
  private final ServiceCallLog log = new ServiceCallLog();
  private final PlainServiceStandIn service = new PlainServiceStandIn("ledger", log);
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(Duration.ofSeconds(1))
          .build();

  @AfterEach
  void close() {
    service.close();
  }

  @Test
  void shouldEchoMethodHeadersAndBody() throws IOException {
    try (Response r = client.newCall(correction("k1")).execute()) {
      assertThat(r.body().string())
          .contains("\"method\":\"PUT\"", "\"path\":\"/levels/7\"", "\"body\":\"+3\"")
          .contains("\"Idempotency-Key\":\"k1\"");
    }
  }

  @Test
  void shouldCountExecutionsPerKeyEvenIfTheAnswerIsLost() throws IOException {
    service.faults().injectNext(ServiceFault.RESET_AFTER_RUN);
    service.faults().injectNext(ServiceFault.SILENCE_AFTER_RUN);
    assertThatThrownBy(() -> call("k1")).isInstanceOf(IOException.class);
    assertThatThrownBy(() -> call("k1")).isInstanceOf(IOException.class);
    call("k1");

    assertThat(log.byIdempotencyKey().count("k1")).isEqualTo(3);
  }

  @Test
  void shouldNotCountCallsRefusedOrResetBeforeExecution() throws IOException {
    service.faults().injectNext(ServiceFault.RESET_BEFORE_RUN);
    service.faults().injectNext(ServiceFault.REFUSE);
    assertThatThrownBy(() -> call("k1")).isInstanceOf(IOException.class);

    assertThat(call("k1")).isEqualTo(503);
    assertThat(log.calls()).isEmpty();
  }

  private int call(String key) throws IOException {
    try (Response r = client.newCall(correction(key)).execute()) {
      return r.code();
    }
  }

  private Request correction(String key) {
    return new Request.Builder()
        .url("http://127.0.0.1:" + service.port() + "/levels/7")
        .header("Idempotency-Key", key)
        .put(RequestBody.create("+3", null))
        .build();
  }
}
