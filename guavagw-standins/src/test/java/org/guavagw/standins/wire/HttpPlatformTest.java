package org.guavagw.standins.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import okhttp3.OkHttpClient;
import org.guavagw.config.VersionRef;
import org.guavagw.platform.AnswerSample;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.HttpPlatform;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.Platform;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.PlatformFailure.Kind;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;
import org.guavagw.platform.Vm;
import org.guavagw.platform.WeightStore;
import org.guavagw.standins.engine.AnswerText;
import org.guavagw.standins.platform.InMemoryObjectStore;
import org.guavagw.standins.platform.LaggingVmList;
import org.guavagw.standins.platform.RateLimitedWeightStore;
import org.guavagw.standins.platform.RatingStandIn;
import org.guavagw.standins.table.InMemoryTableService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpPlatformTest {
  private static final RowKey KEY = new RowKey("bills", "r 1/ä");
  private static final VersionRef VERSION = new VersionRef("report", "v1");
  private static final Vm VM = new Vm("a", "luxor-ops", "127.0.0.1", 7, true);

  private final PlatformStandIn platform =
      new PlatformStandIn(
          new Platform(
              new InMemoryTableService(),
              new InMemoryObjectStore(),
              new LaggingVmList(Ticker.systemTicker(), Duration.ZERO, List.of(VM)),
              new RatingStandIn(0, 1),
              new RateLimitedWeightStore(Ticker.systemTicker(), 1, Duration.ofHours(1))));
  private final HttpPlatform http =
      new HttpPlatform(new OkHttpClient.Builder().readTimeout(Duration.ofSeconds(1)).build());
  private final TableService tables = http.tableService(platform.tableService());
  private final ObjectStore objects = http.objectStore(platform.objectStore());

  @AfterEach
  void close() {
    platform.close();
  }

  @Test
  void shouldWriteAndReadRows() {
    assertThat(tables.read(KEY).get()).isEmpty();
    assertThat(put(KEY, 7).get()).isEqualTo(new CommitResult.Committed());

    assertThat(tables.read(KEY).get().map(Row::value)).hasValue(new byte[] {7});
  }

  @Test
  void shouldReportTheRowsWhoseConditionsFailed() {
    put(KEY, 1);
    RowKey checked = new RowKey("bills", "checked");
    Transaction t =
        new Transaction(
            List.of(new Condition.VersionIs(KEY, -1), new Condition.Absent(checked)),
            List.of(new Mutation.Put(KEY, new byte[] {2})));

    assertThat(tables.commit(t).get()).isEqualTo(new CommitResult.Conflict(List.of(KEY)));
    assertThat(tables.read(KEY).get().map(Row::value)).hasValue(new byte[] {1});
  }

  @Test
  void shouldDeleteOnlyTheVersionThatWasRead() {
    put(KEY, 1);
    long version = tables.read(KEY).get().orElseThrow().version();
    Condition unchanged = new Condition.VersionIs(KEY, version);
    Transaction delete = new Transaction(List.of(unchanged), List.of(new Mutation.Delete(KEY)));

    assertThat(tables.commit(delete).get()).isEqualTo(new CommitResult.Committed());
    assertThat(tables.commit(delete).get()).isEqualTo(new CommitResult.Conflict(List.of(KEY)));
    assertThat(tables.read(KEY).get()).isEmpty();
  }

  @Test
  void shouldReadRangesExcludingTheirEnd() {
    for (String k : List.of("a", "b", "c", "d")) {
      put(new RowKey("t", k), 1);
    }

    assertThat(keys("a", "d", 10)).containsExactly("a", "b", "c");
    assertThat(keys("", "c", 10)).containsExactly("a", "b");
    assertThat(keys("b", "z", 2)).containsExactly("b", "c");
    assertThat(keys("d", "d", 2)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "REFUSE, NOT_APPLIED, false",
    "SILENCE_BEFORE_EFFECT, UNKNOWN, false",
    "SILENCE_AFTER_EFFECT, UNKNOWN, true",
    "RESET_BEFORE_EFFECT, UNKNOWN, false",
    "RESET_AFTER_EFFECT, UNKNOWN, true",
    "FAIL_AFTER_EFFECT, UNKNOWN, true"
  })
  void shouldReportWhetherAFailedWriteMayHaveTakenEffect(
      HttpFault fault, Kind kind, boolean applied) {
    platform.faults().injectNext(fault);

    assertThat(put(KEY, 7).getLeft().kind()).isEqualTo(kind);
    assertThat(tables.read(KEY).get().isPresent()).isEqualTo(applied);
  }

  @Test
  void shouldReportATruncatedReplyAsUnknown() {
    platform.faults().injectNext(HttpFault.GARBAGE_AFTER_EFFECT);

    assertThat(tables.read(KEY).getLeft().kind()).isEqualTo(Kind.UNKNOWN);
  }

  @Test
  void shouldReportARefusedConnectionAsNotApplied() {
    platform.crash();
    Either<PlatformFailure, CommitResult> down = put(KEY, 7);
    platform.restart();

    assertThat(down.getLeft().kind()).isEqualTo(Kind.NOT_APPLIED);
    assertThat(put(KEY, 7).isRight()).isTrue();
  }

  @Test
  void shouldReportAnUnknownHostAsNotApplied() {
    OkHttpClient client = new OkHttpClient.Builder().dns(HttpPlatformTest::failLookup).build();
    TableService nowhere =
        new HttpPlatform(client).tableService(URI.create("http://nowhere.invalid/"));

    assertThat(nowhere.read(KEY).getLeft().kind()).isEqualTo(Kind.NOT_APPLIED);
  }

  @Test
  void shouldUseANewConnectionAfterASilentOne() {
    put(KEY, 7);
    platform.silenceOpenConnections();

    assertThat(tables.read(KEY).getLeft().kind()).isEqualTo(Kind.UNKNOWN);
    assertThat(tables.read(KEY).get()).isPresent();
  }

  @Test
  void shouldStoreObjectsAndListThemInSeveralPages() {
    assertThat(objects.get("a/none").get()).isEmpty();
    for (int i = 0; i < 1001; i++) {
      objects.put("a/" + i, new byte[] {1});
    }
    objects.put("b/ä &<", new byte[] {2});

    assertThat(objects.list("a/").get()).hasSize(1001).doesNotHaveDuplicates();
    assertThat(objects.list("b/").get()).containsExactly("b/ä &<");
    assertThat(objects.get("b/ä &<").get()).hasValue(new byte[] {2});
  }

  @Test
  void shouldStoreAnObjectIfTheReplyIsLost() {
    platform.faults().injectNext(HttpFault.RESET_AFTER_EFFECT);

    assertThat(objects.put("a", new byte[] {1}).getLeft().kind()).isEqualTo(Kind.UNKNOWN);
    assertThat(objects.get("a").get()).hasValue(new byte[] {1});
  }

  @Test
  void shouldCallVmListRatingServiceAndWeightStore() {
    WeightStore weights = http.weightStore(platform.weightStore());
    String answer = AnswerText.complete("r", "p", 4, 0.25);
    AnswerSample sample = new AnswerSample("r", "report", VERSION, "p", answer);

    assertThat(http.vmList(platform.vmList()).vms().get()).containsExactly(VM);
    assertThat(http.ratingService(platform.ratingService()).rate(sample).get()).isEqualTo(0.25);
    assertThat(weights.reserveDownload(VERSION, "b1").isRight()).isTrue();
    assertThat(weights.reserveDownload(VERSION, "b2").getLeft().kind()).isEqualTo(Kind.NOT_APPLIED);
  }

  private static List<InetAddress> failLookup(String host) throws UnknownHostException {
    throw new UnknownHostException(host);
  }

  private List<String> keys(String from, String to, int limit) {
    return tables.range("t", from, to, limit).get().stream().map(r -> r.key().key()).toList();
  }

  private Either<PlatformFailure, CommitResult> put(RowKey key, int value) {
    Mutation put = new Mutation.Put(key, new byte[] {(byte) value});
    return tables.commit(new Transaction(List.of(), List.of(put)));
  }
}
