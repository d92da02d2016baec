package org.guavagw.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.RequestBody;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.engine.EngineClient.Reply;
import org.junit.jupiter.api.Test;

class EngineControlTest {
  private static final VersionRef VERSION = VersionRef.parse(EngineClient.MODEL);
  private static final EngineSettings SETTINGS = EngineSettings.fast("e1", VERSION);

  @Test
  void shouldRefuseAnOldFencingNumberOnlyIfItChecksFencing() {
    assertThat(staleOrderStatus(SETTINGS)).isEqualTo(409);
    assertThat(staleOrderStatus(SETTINGS.ignoringFencing())).isEqualTo(200);
  }

  @Test
  void shouldLoadAVersionOnOrder() {
    try (EngineStandIn engine = new EngineStandIn(SETTINGS)) {
      EngineClient client = new EngineClient(engine.port());
      sendOrder(client, "report@v2", 1);

      assertThat(client.send(client.chat("report@v2", "r1", false, 4)).status()).isEqualTo(200);
      JsonNode load = EngineClient.json(client.send(client.request("/load")).body());
      assertThat(load.at("/versions/1").asText()).isEqualTo("report@v2");
    }
  }

  @Test
  void shouldReportLoadWithTheConfiguredLag() {
    AtomicLong now = new AtomicLong();
    EngineSettings lagging = SETTINGS.withLoadLag(Duration.ofNanos(10));
    ContinuousBatch batch = new ContinuousBatch(lagging, ticker(now));
    now.set(5);
    batch.admit(new RecordedJob("1a", new ArrayList<>(), new ArrayList<>()));

    now.set(14);
    assertThat(batch.laggedReport().running()).isZero();
    now.set(15);
    assertThat(batch.laggedReport().running()).isEqualTo(1);
  }

  @Test
  void shouldPublishCacheEventsWithDelayAndGaps() {
    AtomicLong now = new AtomicLong();
    PrefixCacheSettings lossy = new PrefixCacheSettings(2, Duration.ofNanos(10), 0.5, 100, 7);
    CacheEventLog log = new CacheEventLog(lossy, ticker(now));
    PrefixCache cache = new PrefixCache(2, log);
    for (int i = 0; i < 20; i++) {
      cache.store(List.of("block" + i));
    }

    assertThat(log.after(0).events()).isEmpty();
    now.set(10);
    assertThat(log.after(0).events())
        .hasSizeBetween(5, 33)
        .extracting(CacheEvent::kind)
        .contains(CacheEvent.Kind.stored, CacheEvent.Kind.evicted);
  }

  @Test
  void shouldComputeOnlyBlocksAfterTheCachedPrefix() {
    PrefixCacheSettings settings = PrefixCacheSettings.small();
    PrefixCache cache = new PrefixCache(100, new CacheEventLog(settings, ticker(new AtomicLong())));
    String prompt = "a".repeat(Prompts.BLOCK_CHARS * 3);

    assertThat(cache.store(Prompts.blockHashes(prompt))).isEqualTo(3);
    assertThat(cache.store(Prompts.blockHashes(prompt + "b".repeat(64)))).isEqualTo(1);
  }

  @Test
  void shouldStartQueuedRequestsByPriorityThenArrival() {
    BatchSettings one = BatchSettings.withoutDelays().withSlots(1, 10);
    ContinuousBatch batch = new ContinuousBatch(SETTINGS.withBatch(one), ticker(new AtomicLong()));
    List<String> startOrder = new ArrayList<>();
    List<ContinuousBatch.JobStart> starts = new ArrayList<>();
    for (String job : List.of("5a", "5b", "1c", "9d")) {
      batch.admit(new RecordedJob(job, startOrder, starts));
    }
    while (startOrder.size() < 4) {
      batch.release(starts.get(0), true);
    }

    assertThat(startOrder).containsExactly("5a", "1c", "5b", "9d");
  }

  private static int staleOrderStatus(EngineSettings settings) {
    try (EngineStandIn engine = new EngineStandIn(settings)) {
      EngineClient client = new EngineClient(engine.port());
      sendOrder(client, "report@v2", 7);
      return sendOrder(client, "report@v3", 6).status();
    }
  }

  private static Reply sendOrder(EngineClient client, String version, long fencing) {
    String body =
        "{\"kind\":\"load\",\"version\":\"%s\",\"fencing\":%d}".formatted(version, fencing);
    return client.send(client.request("/orders").post(RequestBody.create(body, null)));
  }

  private static Ticker ticker(AtomicLong now) {
    return new Ticker() {
      @Override
      public long read() {
        return now.get();
      }
    };
  }

  /** A job that records its start; the first character of its name is its priority. */
  private record RecordedJob(
      String name, List<String> startOrder, List<ContinuousBatch.JobStart> starts)
      implements ContinuousBatch.Job {
    @Override
    public VersionRef version() {
      return VERSION;
    }

    @Override
    public int priority() {
      return Character.digit(name.charAt(0), 10);
    }

    @Override
    public void onSlotGranted(ContinuousBatch.JobStart start) {
      startOrder.add(name);
      starts.add(start);
    }
  }
}
