package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.memory.HeldBytesLimit;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.AnswerHead;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests on new connections while the event loop lags. */
class BackendConnectionPoolTest {
  private static final int READ_TIMEOUT_MILLIS = 300;
  private static final Duration BEFORE_LAG = Duration.ofMillis(200);

  /** Longer than it takes the system to repeat a connection that found no room. */
  private static final Duration LAG = Duration.ofMillis(1500);

  private final Transport transport = new Transport("test");
  private final Ticker ticker = Ticker.systemTicker();
  private final CompletableFuture<AttemptFailure> failure = new CompletableFuture<>();
  private BackendConnectionPool pool;
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    EventLoopLag lagging = new EventLoopLag(ticker.read() - Duration.ofSeconds(2).toNanos());
    pool =
        new BackendConnectionPool(
            transport,
            null,
            new PendingReadBarrier(transport.group().next(), lagging, ticker),
            ConnectListener.NONE,
            true,
            new HeldBytesLimit(0),
            ticker);
  }

  @AfterEach
  void stop() throws IOException {
    transport.close();
    server.close();
  }

  @Test
  void shouldFailAtOnceOnAConnectionThatWasClosedBeforeTheRequestWasSent() throws Exception {
    Thread closing =
        new Thread(
            () -> {
              try {
                server.accept().close();
              } catch (IOException e) {
                failure.completeExceptionally(e);
              }
            });
    closing.start();

    send(true);

    assertThat(failure.get(5, TimeUnit.SECONDS))
        .isIn(AttemptFailure.UNREACHABLE, AttemptFailure.BROKEN);
  }

  @Test
  void shouldSendNothingThatIsNoLongerWantedOnceTheConnectionIsOpen() throws Exception {
    send(false);

    try (Socket accepted = server.accept()) {
      assertThat(failure.get(5, TimeUnit.SECONDS)).isEqualTo(AttemptFailure.WITHDRAWN);
      accepted.setSoTimeout(READ_TIMEOUT_MILLIS);
      assertThat(accepted.getInputStream().available()).isZero();
    }
  }

  @Test
  void shouldNotTimeOutAConnectionThatCameAboutDuringALag() throws Exception {
    ChannelFuture reader =
        transport
            .clientBootstrap()
            .handler(new SlowReader())
            .connect(server.getLocalSocketAddress());
    Socket read = server.accept();
    reader.sync();
    server.close();
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    try (Socket first = new Socket();
        Socket second = new Socket()) {
      first.connect(server.getLocalSocketAddress());
      second.connect(server.getLocalSocketAddress());
      send(false);
      Thread.sleep(BEFORE_LAG.toMillis());
      read.close();
      server.accept().close();
      server.accept().close();

      assertThat(failure.get(5, TimeUnit.SECONDS)).isEqualTo(AttemptFailure.WITHDRAWN);
    }
  }

  private void send(boolean wanted) {
    BackendServer sample = Samples.server("w1", "here", "v1");
    BackendServer target =
        new BackendServer(
            sample.id(),
            sample.service(),
            (InetSocketAddress) server.getLocalSocketAddress(),
            sample.dataCentre(),
            sample.version(),
            sample.slots(),
            false,
            sample.startedMillis(),
            0);
    OutgoingRequest request =
        new OutgoingRequest(
            "id",
            HttpMethod.POST,
            "/",
            new DefaultHttpHeaders(),
            Unpooled.buffer(1).writeByte(1),
            false,
            true,
            () -> wanted);
    transport.group().execute(() -> pool.send(target, 4, request, new FailureListener()));
  }

  /** Keeps the event loop busy while it reads the end of a connection. */
  private static final class SlowReader extends ChannelInboundHandlerAdapter {
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      Uninterruptibles.sleepUninterruptibly(LAG);
    }
  }

  /** Keeps the failure of the attempt. */
  private final class FailureListener implements AttemptListener {
    @Override
    public void onHead(HttpResponse head, AnswerHead answer) {
      failure.completeExceptionally(new AssertionError("unexpected answer"));
    }

    @Override
    public void onContent(ByteBuf content) {
      failure.completeExceptionally(new AssertionError("unexpected content"));
    }

    @Override
    public void onComplete() {
      failure.completeExceptionally(new AssertionError("unexpected end of an answer"));
    }

    @Override
    public void onFailed(AttemptFailure reason) {
      failure.complete(reason);
    }
  }
}
