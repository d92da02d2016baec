package org.guavagw.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.config.VersionRef;
import org.guavagw.platform.AnswerSample;
import org.guavagw.platform.PlatformFailure.Kind;
import org.guavagw.platform.Vm;
import org.guavagw.standins.engine.AnswerText;
import org.guavagw.standins.fault.CallOutcome;
import org.junit.jupiter.api.Test;

class PlatformStandInsTest {
  private static final VersionRef VERSION = new VersionRef("report", "v1");

  private final AtomicLong now = new AtomicLong();
  private final Ticker ticker =
      new Ticker() {
        @Override
        public long read() {
          return now.get();
        }
      };

  @Test
  void shouldShowVmsWithALag() {
    LaggingVmList list = new LaggingVmList(ticker, Duration.ofNanos(10), List.of(vm("a")));
    list.set(List.of(vm("b")));

    assertThat(list.vms().get()).containsExactly(vm("a"));
    now.set(10);
    assertThat(list.vms().get()).containsExactly(vm("b"));
  }

  @Test
  void shouldRateByTheQualityMarker() {
    RatingStandIn rating = new RatingStandIn(0, 1);

    assertThat(rating.rate(sample(AnswerText.complete("r", "p", 4, 0.25))).get()).isEqualTo(0.25);
    assertThat(rating.rate(sample("no marker")).get()).isZero();
  }

  @Test
  void shouldKeepNoisyRatingsInRangeAndDeclineUnsampledAnswers() {
    RatingStandIn rating = new RatingStandIn(5, 1);
    String answer = AnswerText.complete("r", "p", 4, 0.5);
    for (int i = 0; i < 50; i++) {
      assertThat(rating.rate(sample(answer)).get()).isBetween(0.0, 1.0);
    }
    rating.sample(0);

    assertThat(rating.rate(sample(answer)).getLeft().kind()).isEqualTo(Kind.NOT_APPLIED);
  }

  @Test
  void shouldGrantDownloadsUpToTheRateLimit() {
    RateLimitedWeightStore store = new RateLimitedWeightStore(ticker, 1, Duration.ofNanos(10));

    assertThat(store.reserveDownload(VERSION, "b1").isRight()).isTrue();
    assertThat(store.reserveDownload(VERSION, "b2").isRight()).isFalse();
    now.set(10);
    assertThat(store.reserveDownload(VERSION, "b2").isRight()).isTrue();
    assertThat(store.granted()).hasSize(2);
  }

  @Test
  void shouldStoreAnObjectIfTheAnswerIsLostAndListByPrefix() {
    FaultyObjectStore store = new FaultyObjectStore(new InMemoryObjectStore(), 1);
    store.faults().injectNext(CallOutcome.ANSWER_LOST);

    assertThat(store.put("a/1", new byte[] {7}).getLeft().kind()).isEqualTo(Kind.UNKNOWN);
    store.put("b/1", new byte[0]);
    assertThat(store.get("a/1").get()).hasValue(new byte[] {7});
    assertThat(store.list("a/").get()).containsExactly("a/1");
  }

  private static AnswerSample sample(String answer) {
    return new AnswerSample("r", "report", VERSION, "p", answer);
  }

  private static Vm vm(String id) {
    return new Vm(id, "luxor-ops", "127.0.0.1", 1, false);
  }
}
