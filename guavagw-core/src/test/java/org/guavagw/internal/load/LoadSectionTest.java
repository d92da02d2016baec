package org.guavagw.internal.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.internal.membership.GossipLink;
import org.junit.jupiter.api.Test;

class LoadSectionTest {
  private static final GossipLink LINK = new GossipLink("may-pen-1", true);
  private static final String SERVER = "worker-1";

  private final AtomicLong nowNs = new AtomicLong();
  private final Ticker ticker =
      new Ticker() {
        @Override
        public long read() {
          return nowNs.get();
        }
      };
  private final LoadSection poller = new LoadSection(ticker);
  private final LoadSection reader = new LoadSection(ticker);

  @Test
  void shouldKeepTheNewerReportWhenAnOlderOneArrivesLater() {
    poller.onPolled(SERVER, load(10));
    byte[] older = poller.collect(LINK).orElseThrow();
    poller.onPolled(SERVER, load(30));
    byte[] newer = poller.collect(LINK).orElseThrow();

    reader.receive(LINK, newer);
    reader.receive(LINK, older);

    assertThat(reader.load(SERVER).orElseThrow().running()).isEqualTo(30);
  }

  @Test
  void shouldResendWhatALostHeartbeatCarried() {
    poller.onPolled(SERVER, load(10));
    poller.collect(LINK);

    reader.receive(LINK, poller.collect(LINK).orElseThrow());
    poller.onConfirmed(LINK);

    assertThat(reader.load(SERVER).orElseThrow().running()).isEqualTo(10);
    assertThat(poller.collect(LINK)).isEmpty();
  }

  @Test
  void shouldNotSendSmallChangesBeforeTheRefreshIsDue() {
    poller.onPolled(SERVER, load(10));
    poller.collect(LINK);
    poller.onConfirmed(LINK);

    poller.onPolled(SERVER, load(12));
    assertThat(poller.collect(LINK)).isEmpty();

    nowNs.addAndGet(TimeUnit.SECONDS.toNanos(11));
    poller.onPolled(SERVER, load(12));
    assertThat(poller.collect(LINK)).isPresent();
  }

  private static ServerLoad load(int running) {
    return new ServerLoad(
        "boot-1", "warm", running, 0, 32, List.of("small@v1"), List.of(), "mixed");
  }
}
