package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import org.guavagw.gateway.internal.framing.RequestCheck;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.memory.EvictionReason;
import org.guavagw.gateway.internal.memory.MemoryAccount;
import org.guavagw.gateway.internal.memory.MemoryLimits;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.spi.RelayFormat;
import org.guavagw.internal.lifecycle.InFlightRequests;
import org.junit.jupiter.api.Test;

/** Gives up a connection whose caller has a part of a stream, while more of it is held here. */
class EvictedAnswerTest {
  private final Ticker ticker = Ticker.systemTicker();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(PrintStream.nullOutputStream()));
  private final MemoryAccount account =
      new MemoryAccount(new MemoryLimits(1000, 1), (reason, standing, bytes, total) -> {});
  private final CallerConnection connection =
      new CallerConnection(dependencies(), new RequestCheck());
  private final EmbeddedChannel channel = new EmbeddedChannel(connection);
  private boolean dropped;

  @Test
  void shouldDropTheRestOfAStreamThatHasBegunAndKeepItsCaller() {
    beginStream();
    connection.evict(EvictionReason.MEMORY);

    assertThat(dropped).isTrue();
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  void shouldCloseAConnectionThatIsGivenUpForAnother() {
    beginStream();
    EmbeddedChannel other =
        new EmbeddedChannel(new CallerConnection(dependencies(), new RequestCheck()));

    assertThat(channel.isOpen()).isFalse();
    assertThat(other.isOpen()).isTrue();
  }

  private void beginStream() {
    channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"));
    connection.startChunked(200, EmptyHttpHeaders.INSTANCE);
    connection.write(Unpooled.wrappedBuffer(new byte[1]));
    connection.setHeldAnswer(new HeldAnswer(500, () -> dropped = true));
  }

  /** Returns dependencies with which no request is served. */
  private CallerConnectionDependencies dependencies() {
    EventLoopLag lagging = new EventLoopLag(ticker.read() - Duration.ofSeconds(2).toNanos());
    return new CallerConnectionDependencies(
        exchangeDependencies(),
        false,
        () -> CallerLimits.DEFAULT,
        new HashSet<>(),
        new PendingReadBarrier(new EmbeddedChannel().eventLoop(), lagging, ticker),
        new GracefulShutdown(ticker),
        new InFlightRequests(),
        account,
        new UnansweredRequestLog(log, metrics, ticker),
        log);
  }

  private ExchangeDependencies exchangeDependencies() {
    Class<?>[] types = {RelayFormat.class};
    RelayFormat format =
        (RelayFormat)
            Proxy.newProxyInstance(
                RelayFormat.class.getClassLoader(), types, (p, method, a) -> Either.left(""));
    return new ExchangeDependencies(
        null, null, null, null, null, null, null, null, null, null, null, null, format, null, null,
        null, null, null, null, ticker, log, metrics, null);
  }
}
