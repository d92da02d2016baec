package org.guavagw.standins.history;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.engine.EngineSettings;
import org.guavagw.standins.engine.EngineStandIn;
import org.guavagw.standins.history.Event.BillWritten;
import org.guavagw.standins.history.Event.ExecutionEnded;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.junit.jupiter.api.Test;

class HistoryRecorderTest {
  private final HistoryRecorder recorder = new HistoryRecorder(Ticker.systemTicker());

  @Test
  void shouldKeepATotalOrderWithMonotonicTimeUnderConcurrency() throws InterruptedException {
    ExecutorService writers = Executors.newFixedThreadPool(3);
    for (int i = 0; i < 300; i++) {
      Event event = new BillWritten("r" + i);
      writers.execute(() -> recorder.record(event));
    }
    writers.shutdown();
    assertThat(writers.awaitTermination(10, TimeUnit.SECONDS)).isTrue();

    List<TimedEvent<Event>> events = recorder.history().events();
    assertThat(events)
        .hasSize(300)
        .isSortedAccordingTo((a, b) -> Long.compare(a.nanos(), b.nanos()));
    assertThat(events.get(299).order()).isEqualTo(299);
  }

  @Test
  void shouldRecordExecutionsWithTheTagOfTheirCall() throws Exception {
    EngineSettings settings = EngineSettings.fast("e1", VersionRef.parse("m@1"));
    try (EngineStandIn engine = new EngineStandIn(settings)) {
      new ExecutionRecorder(recorder, Map.of("e1", "luxor-ops")).follow(engine.log());
      String body =
          "{\"model\":\"m@1\",\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}"
              .formatted(CallTag.of("c1"));
      post(engine.port(), body);
    }

    assertThat(recorder.history().of(ExecutionStarted.class))
        .singleElement()
        .satisfies(e -> assertThat(e.event().callId()).hasValue("c1"))
        .satisfies(e -> assertThat(e.event().dataCentre()).isEqualTo("luxor-ops"));
    assertThat(recorder.history().of(ExecutionEnded.class))
        .singleElement()
        .satisfies(e -> assertThat(e.event().whole()).isTrue());
  }

  private static void post(int port, String body) throws Exception {
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + port + "/v1/chat/completions")
            .post(RequestBody.create(body, MediaType.get("application/json")))
            .build();
    new OkHttpClient().newCall(request).execute().close();
  }
}
