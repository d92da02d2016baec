package org.guavagw.gateway.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.peers.DemandReport;
import org.guavagw.gateway.internal.peers.DemandSummary;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ServiceDemand;
import org.guavagw.internal.peer.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DemandExchangeTest {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int SETTLING_TICKS = 20;

  private final ManualClock clock = new ManualClock();
  private final List<Member> all = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();
  private final Set<String> cutOff = new HashSet<>();
  private int messages;

  @ParameterizedTest
  @CsvSource({"3, 0", "4, 4", "20, 20", "40, 2"})
  void shouldCountEachOtherEntryOnce(int first, int second) {
    start(first, "dc1");
    start(second, "dc2");
    entries.forEach(e -> e.contended = true);

    run();

    assertThat(entries).allMatch(e -> Math.abs(e.known - (entries.size() - 1)) < 0.001);
  }

  @Test
  void shouldSendNothingWhileServicesHaveRoom() {
    start(20, "dc1");
    start(20, "dc2");

    run();

    assertThat(messages).isZero();
  }

  @Test
  void shouldForgetAnEntryThatIsCutOffAndCountItAgainWhenItIsBack() {
    start(8, "dc1");
    entries.forEach(e -> e.contended = true);
    run();

    cutOff.add("dc1-3");
    run();
    run();
    assertThat(entries.get(0).known).isEqualTo(6);
    assertThat(entries.get(3).known).isZero();

    cutOff.clear();
    run();
    assertThat(entries).allMatch(e -> e.known == 7);
  }

  private void start(int count, String dataCentre) {
    for (int i = 0; i < count; i++) {
      Member member = new Member(dataCentre + "-" + i, dataCentre, "127.0.0.1", 1);
      all.add(member);
      entries.add(new Entry(member.name()));
    }
  }

  private void run() {
    for (int i = 0; i < SETTLING_TICKS; i++) {
      clock.advance(TICK);
      entries.forEach(e -> e.exchange.tick(clock.read()));
    }
  }

  /** An entry that runs one request and knows how many others run. */
  private final class Entry implements SharedDemand {
    private final String name;
    private final DemandExchange exchange;
    private boolean contended;
    private double known;

    Entry(String name) {
      this.name = name;
      this.exchange =
          new DemandExchange(
              this, this::members, new HubSelector(this::members, 12, clock), this::send);
    }

    private Members members() {
      return new Members(name, all);
    }

    private void send(String receiver, PeerMessage message) {
      messages++;
      if (cutOff.contains(name) || cutOff.contains(receiver)) {
        return;
      }
      Entry to = entries.stream().filter(e -> e.name.equals(receiver)).findFirst().orElseThrow();
      if (message instanceof DemandReport report) {
        to.exchange.onReport(name, report, clock.read());
      } else if (message instanceof DemandSummary summary) {
        to.exchange.onSummary(summary, clock.read());
      }
    }

    @Override
    public Map<String, ServiceDemand> demand(long nowNanos) {
      return contended ? Map.of("s", new ServiceDemand(1, 1, Map.of("0:a", 2.0))) : Map.of();
    }

    @Override
    public void onPeerDemand(Map<String, ServiceDemand> others, long nowNanos) {
      known = others.getOrDefault("s", ServiceDemand.NONE).running();
    }
  }
}
